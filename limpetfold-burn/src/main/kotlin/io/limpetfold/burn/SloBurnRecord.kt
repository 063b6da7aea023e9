package io.limpetfold.burn

import io.limpetfold.store.ObjectKey
import kotlinx.serialization.Serializable

/** What one instance contributes to the service-level burn report; stored as `burn/<instance>`. */
@Serializable
data class SloBurnRecord(
    val instance: String,
    val series: List<SloBurnSeries>,
) {
    companion object {
        /** The prefix of all records. */
        const val PREFIX = "burn/"

        /** Where the record of [instance] is stored. */
        fun key(instance: String): ObjectKey = ObjectKey(PREFIX + instance)
    }
}
