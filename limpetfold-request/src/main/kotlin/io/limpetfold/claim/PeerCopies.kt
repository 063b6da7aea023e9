package io.limpetfold.claim

/** Lets peers keep claims; returns whether enough of them do. */
internal fun interface PeerCopies {
    suspend fun send(claims: List<ClaimCopy>): Boolean
}
