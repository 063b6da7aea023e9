package io.limpetfold.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Claims idempotency keys, so that a non-idempotent call is forwarded at most once; safe for concurrent use.
 *
 * Two routers that claim a key concurrently write the same shard conditionally, so one of them sees the other's record.
 * A claim is recognised by a token that is unique for each attempt, not by the request identity: the same identity may
 * arrive at two routers at once, and both would recognise the claim as their own.
 *
 * When the response to a write is lost and reading the shard again fails too, the call is refused as not run and the
 * claim is disowned: this process never forwards a call under its token. A retry through the same router replaces the
 * disowned record. A retry through another router gets [ClaimDecision.Unfinished], because that router cannot tell a
 * disowned claim from a running one; it is granted after [maintain] removed the record. If the router crashes first,
 * the key stays unfinished until it expires.
 *
 * A claim of a crashed router stays unfinished until it expires and is never forwarded again. Expiry uses the wall
 * clocks of the routers. They may differ by up to the retention less [ClaimPolicy.maxForwardAge] without a second
 * forward of a claim that is still held. A clock that is further ahead shortens the time for which duplicates are
 * detected.
 *
 * A store that is restored from an older copy lacks the claims since. Each shard names the era in which it was written.
 * In a later era it is incomplete until all [routers] have written the claims again that they remember; until then keys
 * without a record are refused as not run. A late write that puts a shard of an earlier era in place makes it incomplete
 * again. With [witnesses], a call is forwarded only after peers keep its claim, and they write it again if this router
 * has ended. What remains: a claim is lost if its router and all those peers ended between its write and the time at
 * which they would have written it again, so a call that was forwarded can be forwarded again. The same holds for a
 * router that is missing from [routers] while it runs, and for copies older than [ClaimPolicy.maxCopyAge].
 *
 * @param routers the instances that may have claimed keys, null while they are unknown.
 * @param witnesses the peers that keep this router's claims; without them its claims since a copy are lost if it ends.
 */
class ClaimRegistry(
    private val self: Incarnation,
    private val store: ObjectStore,
    private val clock: InstantSource = InstantSource.system(),
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val policy: ClaimPolicy = ClaimPolicy(),
    private val listener: ClaimListener = ClaimListener.NONE,
    private val routers: () -> Set<InstanceId>? = { setOf(self.instance) },
    private val witnesses: ClaimWitnesses? = null,
) {
    private val eras = ClaimEras(timeSource)
    private val writers =
        List(ClaimKey.SHARD_COUNT) {
            val peerCopies = witnesses?.let { peers -> PeerCopies { copies -> copyTo(peers, copies) } }
            ShardWriter(it, store, clock, policy, listener, timeSource, eras, peerCopies)
        }

    /** The era in which each shard was last seen complete. */
    private val completeEras = LongArray(ClaimKey.SHARD_COUNT)
    private val attemptCounter = AtomicLong()

    /** Claims of this process that may be stored and must never be forwarded, by token, oldest first. */
    private val disowned = LinkedHashMap<String, DisownedClaim>()

    init {
        witnesses?.registerHandler(::keep)
    }

    /**
     * Claims [idempotencyKey] for a call, waiting up to [maxWait].
     *
     * After an error or a cancellation the call must not be forwarded. A granted claim must be completed or released.
     */
    suspend fun claim(
        workspace: WorkspaceId,
        route: RouteId,
        idempotencyKey: String,
        request: RequestId,
        maxWait: Duration,
    ): Result<ClaimDecision, ClaimError> {
        val key = ClaimKey.of(workspace, route, idempotencyKey)
        val attempt = attemptCounter.incrementAndGet()
        val token = "${self.number.toString(RADIX)}-${attempt.toString(RADIX)}-${self.instance}"
        val claimedMark = timeSource.markNow()
        val claimedAt = clock.instant()
        val acquire = ShardOperation.Acquire(key.hash, token, claimedAt.toEpochMilli(), ::isDisowned)
        val written =
            try {
                withTimeoutOrNull(maxWait.toMillis()) { writers[key.shard].submit(acquire) }
            } catch (e: CancellationException) {
                disown(token, key)
                throw e
            } ?: Err(StoreError.OutcomeUnknown("no answer within ${maxWait.toMillis()} ms"))
        return written.fold(
            success = { written ->
                val record = written.shard.records[key.hash]
                when {
                    record?.isHeldOnlyBy(token) != true -> {
                        giveUp(token, key, record)
                        decideByRecord(key, record, written)
                    }
                    !written.isComplete ->
                        Err(handleWriteError(StoreError.OutcomeUnknown("the store was restored"), token, key))
                    !written.hasCopies -> {
                        disown(token, key)
                        remove(token, key)
                        Err(ClaimError.CopiesMissing(policy.unavailableRetryAfter))
                    }
                    else ->
                        Ok(
                            ClaimDecision.Granted(
                                Claim(
                                    key,
                                    token,
                                    request,
                                    claimedAt,
                                    claimedMark,
                                    clock,
                                    policy.maxForwardAge,
                                    listener,
                                ),
                            ),
                        )
                }
            },
            failure = { Err(handleWriteError(it, token, key)) },
        )
    }

    /**
     * Records the response of a forwarded call; after an error the key stays unfinished and this may be called again.
     *
     * The body is written first, so that a crash between the two writes never leaves a completed record without its
     * body. When the body can't be stored, the status is recorded all the same and
     * [ClaimListener.onBodyNotStored] tells why, because a duplicate is better served by the status than by nothing.
     *
     * @throws IllegalStateException when the call was not forwarded.
     */
    suspend fun complete(
        claim: Claim,
        response: RecordedResponse,
    ): Result<Unit, StoreError> {
        check(claim.tryMarkCompleted()) { "claim $claim was not forwarded; release it instead of completing it" }
        response.body?.takeIf { it.length <= policy.maxBodyChars }?.let { storeBody(claim, response.contentType, it) }
        witnesses?.onEnded(ClaimOutcome(claim.key.shard, claim.token, response.status))
        return writers[claim.key.shard]
            .submit(ShardOperation.Complete(claim.key.hash, claim.token, response.status))
            .map { }
    }

    /**
     * Releases the key of a call that was not forwarded or did not start, so that a retry can claim it.
     *
     * @param isProvenNotStarted whether the call was forwarded and is proven not to have started at the endpoint.
     * @throws IllegalStateException when the call was forwarded without such a proof.
     */
    suspend fun release(
        claim: Claim,
        isProvenNotStarted: Boolean = false,
    ) {
        check(claim.tryEnd(isProvenNotStarted)) { "claim $claim was forwarded; complete it instead of releasing it" }
        disown(claim.token, claim.key)
        remove(claim.token, claim.key)
    }

    /** Removes disowned claims of this process from the store, and drops old claims of others; call it periodically. */
    suspend fun maintain() {
        witnesses?.sendOutcomes(others(), eras::observe)
        // One read is enough, because its response counts for all shards.
        writers.filter { it.expireWitnessed() }.firstOrNull()?.readEra()
        val pending = synchronized(disowned) { disowned.entries.map { it.key to it.value.key } }
        coroutineScope {
            for ((token, key) in pending) launch { remove(token, key) }
        }
    }

    /** The store began [era] with an older copy; [maintainRestored] then writes claims again. */
    fun onEraChanged(era: Long) = eras.observe(era)

    /**
     * Writes the claims of this process again after a restore of the store; call it about once a second. Does nothing
     * while no restore is known or all shards are complete.
     *
     * Until [ClaimPolicy.lateWriteWindow] has passed, complete shards are checked again, because a late write of an
     * earlier era may replace one.
     */
    suspend fun maintainRestored() {
        val era = eras.current
        if (era == 0L) return
        val isLateWritePossible = eras.age < policy.lateWriteWindow.toKotlinDuration()
        val required = routers()?.mapTo(HashSet()) { it.value }
        for ((shard, writer) in writers.withIndex()) {
            if (completeEras[shard] == era && !isLateWritePossible) continue
            if (writer.restore(self.instance, required)) completeEras[shard] = era
        }
    }

    /**
     * Lets peers keep what this process would write again after a restore; call it before a planned stop. Returns
     * whether enough of them do. Takes at most twice [ClaimPolicy.handOverTimeout], whatever the store and the peers do.
     */
    suspend fun handOver(): Boolean {
        val peers = witnesses ?: return false
        // Peers take no claims of an earlier era, because they may have written their own again already.
        val maxMillis = policy.handOverTimeout.toMillis()
        withTimeoutOrNull(maxMillis) { maintainRestored() }
        val chunks = writers.flatMap { it.copies() }.chunked(MAX_COPIES)
        return withTimeoutOrNull(maxMillis) { chunks.map { copyTo(peers, it) }.all { it } } ?: false
    }

    private suspend fun copyTo(
        peers: ClaimWitnesses,
        copies: List<ClaimCopy>,
    ): Boolean = peers.copy(copies, others(), eras::observe)

    private fun others(): Set<InstanceId>? = routers()?.minus(self.instance)

    private fun keep(message: ClaimCopies): ClaimCopiesReply {
        for (outcome in message.outcomes) writers.getOrNull(outcome.shard)?.onPeerClaimEnded(outcome)
        val keptCount = message.claims.count { writers.getOrNull(it.shard)?.keep(it) == true }
        return ClaimCopiesReply(eras.current, keptCount == message.claims.size)
    }

    /** The attempt [token] was not granted; [record] is what the store has of the key. */
    private fun giveUp(
        token: String,
        key: ClaimKey,
        record: ClaimRecord?,
    ) {
        val isStored = record != null && token in record.tokens
        if (isStored) disown(token, key) else witnesses?.onEnded(ClaimOutcome(key.shard, token))
    }

    private suspend fun remove(
        token: String,
        key: ClaimKey,
    ) {
        val isRemoved = writers[key.shard].submit(ShardOperation.Remove(key.hash, token)).isOk
        if (!isRemoved) return
        synchronized(disowned) {
            val age = disowned[token]?.disownedAt?.elapsedNow() ?: return
            if (age >= policy.lateWriteWindow.toKotlinDuration()) disowned.remove(token)
        }
    }

    private suspend fun decideByRecord(
        key: ClaimKey,
        record: ClaimRecord?,
        written: WrittenShard,
    ): Result<ClaimDecision, ClaimError> =
        when {
            record == null && !written.isComplete ->
                Err(ClaimError.Restoring(key.shard, policy.restoreRetryAfter))
            record == null -> Err(ClaimError.ShardFull(key.shard, policy.shardFullRetryAfter))
            record.isUnfinished ->
                Ok(ClaimDecision.Unfinished(Instant.ofEpochMilli(record.claimedAtMillis)))
            else -> Ok(ClaimDecision.Finished(readResponse(key, record)))
        }

    private suspend fun readResponse(
        key: ClaimKey,
        record: ClaimRecord,
    ): RecordedResponse {
        val stored = bodiesObject(key.shard).read().fold(success = { it.value }, failure = { null })
        val body = stored?.bodies?.get(key.hash)?.takeIf { it.token == record.token }
        return if (body == null) {
            RecordedResponse(record.status)
        } else {
            RecordedResponse(record.status, body.contentType, body.body)
        }
    }

    private suspend fun storeBody(
        claim: Claim,
        contentType: String,
        body: String,
    ) {
        val now = clock.millis()
        val added = mapOf(claim.key.hash to ClaimBody(claim.token, now, contentType, body))
        bodiesObject(claim.key.shard)
            .update<Nothing>(isApplied = { it.bodies[claim.key.hash]?.token == claim.token }) {
                val oldestMillis = now - policy.retention.toMillis()
                Change.Write((it ?: ClaimBodies()).withAdded(added, oldestMillis, policy.maxBodiesBytes))
            }.onFailure {
                if (it is UpdateError.Failed) listener.onBodyNotStored(claim.key.shard, it.error)
            }
    }

    private fun bodiesObject(shard: Int) = TypedObject(store, ObjectKey("claim-body/$shard"), ClaimBodies.serializer())

    private fun handleWriteError(
        error: StoreError,
        token: String,
        key: ClaimKey,
    ): ClaimError {
        if (error is StoreError.OutcomeUnknown) {
            disown(token, key)
            return ClaimError.OutcomeUnknown(error.message, policy.unavailableRetryAfter)
        }
        val retryAfter = (error as? StoreError.RateLimited)?.retryAfter ?: policy.unavailableRetryAfter
        return ClaimError.PlatformUnavailable(error.message, retryAfter)
    }

    private fun isDisowned(token: String): Boolean = synchronized(disowned) { token in disowned }

    private fun disown(
        token: String,
        key: ClaimKey,
    ) = synchronized(disowned) {
        witnesses?.onEnded(ClaimOutcome(key.shard, token))
        disowned[token] = DisownedClaim(key, timeSource.markNow())
        if (disowned.size > policy.maxDisownedClaims) disowned.remove(disowned.keys.first())
    }

    private class DisownedClaim(
        val key: ClaimKey,
        val disownedAt: TimeMark,
    )

    private companion object {
        /** Base 36 keeps the tokens short and so the shards small. */
        const val RADIX = 36

        /** Keeps a message at about 150 kB. */
        const val MAX_COPIES = 1_000
    }
}
