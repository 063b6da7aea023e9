package io.limpetfold.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Which risk the budget grants of a workspace or the moves of a route minimise first. */
@Serializable
enum class TradeoffPreset {
    /** Fewer unnecessary refusals, and moves that finish in time. */
    @SerialName("availability")
    AVAILABILITY,

    /** Less stranded budget and less exposure to bad versions. */
    @SerialName("exposure")
    EXPOSURE,
}
