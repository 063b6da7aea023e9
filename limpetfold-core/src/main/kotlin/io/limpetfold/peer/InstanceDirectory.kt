package io.limpetfold.peer

import com.github.michaelbull.result.Result
import io.limpetfold.store.StoreError
import kotlinx.collections.immutable.ImmutableList

/** The platform's list of running and leaving instances. */
fun interface InstanceDirectory {
    /** Reads the list, which may be up to a minute old. */
    suspend fun list(): Result<ImmutableList<ListedInstance>, StoreError>
}
