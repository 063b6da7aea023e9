package io.limpetfold.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Which harm the budgets and moves of a workspace or route avoid first. */
@Serializable
enum class TradeoffPreset {
    /** Fewer false refusals and timely moves. */
    @SerialName("availability")
    AVAILABILITY,

    /** Less stranded budget and less exposure to bad versions. */
    @SerialName("exposure")
    EXPOSURE,
}
