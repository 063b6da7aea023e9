package io.limpetfold.standins

import io.limpetfold.peer.ListedInstance
import kotlinx.serialization.Serializable

/**
 * Settings of the platform stand-in.
 *
 * @property writesPerSecond rate above which writes get a 429.
 * @property readsPerSecond rate above which reads, and watches when they start, get a 429.
 * @property listLagMillis how long a change of the instance list takes to become visible.
 * @property seed seed of the random generator that draws faults.
 */
@Serializable
data class PlatformStandinSettings(
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2000,
    val listLagMillis: Long = 0,
    val seed: Long = 1,
    val instances: List<ListedInstance> = emptyList(),
    val faults: List<FaultSettings> = emptyList(),
) {
    init {
        require(writesPerSecond > 0 && readsPerSecond > 0) {
            "a rate is not positive: set writesPerSecond and readsPerSecond above 0"
        }
        require(listLagMillis >= 0) { "listLagMillis is negative: use 0 or more" }
    }
}
