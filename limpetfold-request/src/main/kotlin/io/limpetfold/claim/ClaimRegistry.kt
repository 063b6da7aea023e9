package io.limpetfold.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
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
 * Two routers that claim a key at once write the same shard conditionally, so one of them sees the other's record. A
 * claim is recognised by a token that is unique for each attempt, not by the request identity: the same identity may
 * arrive at two routers at once, and both would take the claim for their own.
 *
 * When the answer of a write is lost and the lookup fails too, the call is refused as not run and the claim is disowned:
 * this process never forwards under its token. A retry with the same request identity through the same router replaces
 * the disowned record. Through another router it sees [ClaimDecision.Unfinished], because that router cannot tell a
 * disowned claim from a running one; after [maintain] removed the record it is granted. If the router dies first, the key
 * stays unknown until it expires.
 *
 * A claim of a dead router stays unfinished until it expires and is never forwarded again. Expiry uses the wall clocks of
 * the routers, which may differ by up to the retention less [ClaimPolicy.forwardWithin] without a second forward of a
 * claim that is still held. A clock that is further ahead shortens the time for which duplicates are detected.
 */
class ClaimRegistry(
    private val self: Incarnation,
    private val store: ObjectStore,
    private val clock: InstantSource = InstantSource.system(),
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val policy: ClaimPolicy = ClaimPolicy(),
    private val listener: ClaimListener = ClaimListener.NONE,
) {
    private val writers = List(ClaimKey.SHARDS) { ShardWriter(it, store, clock, policy, listener) }
    private val attempts = AtomicLong()

    /** Tokens of this process that were never forwarded and may be stored, oldest first. */
    private val disowned = LinkedHashMap<String, DisownedClaim>()

    /**
     * Claims [idempotencyKey] for a call, waiting up to [maxWait].
     *
     * On an error and on cancellation nothing may be forwarded. A granted claim must be completed or abandoned.
     */
    suspend fun claim(
        workspace: WorkspaceId,
        route: RouteId,
        idempotencyKey: String,
        request: RequestId,
        maxWait: Duration,
    ): Result<ClaimDecision, ClaimError> {
        val key = ClaimKey.of(workspace, route, idempotencyKey)
        val token = "${self.number.toString(RADIX)}-${attempts.incrementAndGet().toString(RADIX)}-${self.instance}"
        val claimedMark = timeSource.markNow()
        val claimedAt = clock.instant()
        val take = ShardOperation.Take(key.hash, token, claimedAt.toEpochMilli(), ::isDisowned)
        val written =
            try {
                withTimeoutOrNull(maxWait.toMillis()) { writers[key.shard].submit(take) }
            } catch (e: CancellationException) {
                disown(token, key)
                throw e
            } ?: Err(StoreError.OutcomeUnknown("no answer within ${maxWait.toMillis()} ms"))
        return written.fold(
            success = { shard ->
                val record = shard.records[key.hash]
                if (record?.token == token) {
                    val claim =
                        Claim(key, token, request, claimedAt, claimedMark, clock, policy.forwardWithin, listener)
                    Ok(ClaimDecision.Granted(claim))
                } else {
                    refused(key, record)
                }
            },
            failure = { Err(failed(it, token, key)) },
        )
    }

    /**
     * Records how a forwarded call ended; on an error the key stays unfinished and the call may be made again.
     *
     * The body is written first: a record that says "finished" then never lacks a body because of a crash in between.
     *
     * @throws IllegalStateException when the call was not forwarded.
     */
    suspend fun complete(
        claim: Claim,
        outcome: RecordedResponse,
    ): Result<Unit, StoreError> {
        check(claim.finish()) { "claim $claim was not forwarded; abandon it instead of completing it" }
        outcome.body?.takeIf { it.length <= policy.maxBodyChars }?.let { storeBody(claim, outcome.contentType, it) }
        return writers[claim.key.shard]
            .submit(ShardOperation.Finish(claim.key.hash, claim.token, outcome.status))
            .map { }
    }

    /**
     * Gives the key of a call back that was not forwarded, so that a retry can claim it.
     *
     * @param isProvenNotStarted the call was forwarded and the endpoint proved that it did not start.
     * @throws IllegalStateException when the call was forwarded without such a proof.
     */
    suspend fun release(
        claim: Claim,
        isProvenNotStarted: Boolean = false,
    ) {
        check(claim.end(isProvenNotStarted)) { "claim $claim was forwarded; complete it instead of abandoning it" }
        disown(claim.token, claim.key)
        remove(claim.token, claim.key)
    }

    /** Removes stored claims that this process disowned. */
    suspend fun maintain() {
        val pending = synchronized(disowned) { disowned.entries.map { it.key to it.value.key } }
        coroutineScope {
            for ((token, key) in pending) launch { remove(token, key) }
        }
    }

    private suspend fun remove(
        token: String,
        key: ClaimKey,
    ) {
        val isRemoved = writers[key.shard].submit(ShardOperation.Remove(key.hash, token)).isOk
        if (!isRemoved) return
        synchronized(disowned) {
            val age = disowned[token]?.since?.elapsedNow() ?: return
            if (age >= policy.lateWriteWindow.toKotlinDuration()) disowned.remove(token)
        }
    }

    private suspend fun refused(
        key: ClaimKey,
        record: ClaimRecord?,
    ): Result<ClaimDecision, ClaimError> =
        when {
            record == null -> Err(ClaimError.ShardFull(key.shard, policy.fullRetryAfter))
            record.isUnfinished ->
                Ok(ClaimDecision.Unfinished(Instant.ofEpochMilli(record.claimedAtMillis)))
            else -> Ok(ClaimDecision.Finished(readOutcome(key, record)))
        }

    private suspend fun readOutcome(
        key: ClaimKey,
        record: ClaimRecord,
    ): RecordedResponse {
        val stored = bodies(key.shard).read().fold(success = { it.value }, failure = { null })
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
        bodies(claim.key.shard).update<Nothing>(
            isApplied = { it.bodies[claim.key.hash]?.token == claim.token },
        ) {
            val oldestMillis = now - policy.retention.toMillis()
            Change.Write((it ?: ClaimBodies()).with(added, oldestMillis, policy.maxBodiesBytes))
        }
    }

    private fun bodies(shard: Int) = TypedObject(store, ObjectKey("claim-body/$shard"), ClaimBodies.serializer())

    private fun failed(
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
        disowned[token] = DisownedClaim(key, timeSource.markNow())
        if (disowned.size > policy.maxDisowned) disowned.remove(disowned.keys.first())
    }

    private class DisownedClaim(
        val key: ClaimKey,
        val since: TimeMark,
    )

    private companion object {
        /** Short tokens keep a shard small. */
        const val RADIX = 36
    }
}
