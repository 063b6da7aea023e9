package io.limpetfold.peer

import com.github.michaelbull.result.Result
import io.limpetfold.store.StoreError
import kotlinx.collections.immutable.ImmutableList

/** The platform's lagging list of live and leaving instances. */
fun interface InstanceDirectory {
    /** Reads the list; it may lag by a minute. */
    suspend fun list(): Result<ImmutableList<ListedInstance>, StoreError>
}
