package io.limpetfold.claim

import kotlinx.serialization.Serializable

/** The stored value of `claim/<shard>`: claim records by key hash. */
@Serializable
internal data class ClaimShard(
    val records: Map<String, ClaimRecord> = emptyMap(),
)
