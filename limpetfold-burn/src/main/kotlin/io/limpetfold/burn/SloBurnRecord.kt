package io.limpetfold.burn

import io.limpetfold.store.ObjectKey
import kotlinx.serialization.Serializable

/** The counts of one instance for the service-level burn report, stored in the object `burn/<instance>`. */
@Serializable
data class SloBurnRecord(
    val instance: String,
    val series: List<SloBurnSeries>,
) {
    companion object {
        /** The key prefix of all records. */
        const val PREFIX = "burn/"

        /** Returns the key of the record of [instance]. */
        fun key(instance: String): ObjectKey = ObjectKey(PREFIX + instance)
    }
}
