package io.limpetfold.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The protocol of a service's endpoints. */
@Serializable
enum class ServiceKind {
    /** An inference engine: chat completions, billed in tokens. */
    @SerialName("model")
    MODEL,

    /** A plain service: calls are passed through. */
    @SerialName("plain")
    PLAIN,
}
