package io.limpetfold.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the endpoints of a service speak. */
@Serializable
enum class ServiceKind {
    /** A model engine: chat completions, billed in tokens. */
    @SerialName("model")
    MODEL,

    /** A plain service: calls are passed through. */
    @SerialName("plain")
    PLAIN,
}
