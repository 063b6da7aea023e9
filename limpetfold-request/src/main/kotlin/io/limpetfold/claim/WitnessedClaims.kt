package io.limpetfold.claim

import java.time.Duration
import kotlin.time.TimeMark
import kotlin.time.toKotlinDuration

/**
 * The claims of other routers in one shard that this process keeps for them. Safe for concurrent use.
 *
 * A claim is dropped once the store has responded in the era for which it is kept, and so long after it that the copy
 * of any later restore has it.
 *
 * @param maxClaims how many claims are kept; further ones are not confirmed.
 * @param keepTime how long a claim is kept at least: the age of the oldest copy, and the time until its router has
 * written it.
 */
internal class WitnessedClaims(
    private val maxClaims: Int,
    private val keepTime: Duration,
) {
    /** By token, because several calls may try to claim one key. */
    private val claims = HashMap<String, WitnessedClaim>()

    /** The claims that are kept now. */
    @Synchronized
    fun snapshot(): List<WitnessedClaim> = claims.values.toList()

    /** Keeps [copy]; returns false if there are too many claims. */
    @Synchronized
    fun add(
        copy: ClaimCopy,
        now: TimeMark,
    ): Boolean {
        val token = copy.record.token
        val known = claims[token]
        if (known == null && claims.size >= maxClaims) return false
        val record = known?.record?.takeIf { !it.isUnfinished } ?: copy.record
        claims[token] = WitnessedClaim(copy.hash, record, maxOf(copy.era, known?.era ?: 0), now)
        return true
    }

    /** Takes note that the claim [token] ended; one that was given up is no longer kept. */
    @Synchronized
    fun onEnded(
        token: String,
        status: Int,
    ) {
        val known = claims[token] ?: return
        if (status == ClaimRecord.UNFINISHED) {
            claims -= token
        } else {
            claims[token] = known.copy(record = known.record.copy(status = status))
        }
    }

    /** [settled] are in the store, or must not be written any more, in [era]. */
    @Synchronized
    fun onRestored(
        settled: List<WitnessedClaim>,
        era: Long,
        now: TimeMark,
    ) {
        for (claim in settled) {
            val token = claim.record.token
            claims.computeIfPresent(token) { _, known -> known.copy(era = era, keptAt = now) }
        }
    }

    /** Drops old claims; the store responded in [era] to a call that began at [sentAt]. */
    @Synchronized
    fun expire(
        era: Long,
        sentAt: TimeMark,
    ) {
        val sinceSent = sentAt.elapsedNow()
        claims.values.removeIf {
            it.era == era && it.keptAt.elapsedNow() - sinceSent > keepTime.toKotlinDuration()
        }
    }

    /** Whether a claim is so old that a response of the store may let it be dropped. */
    @Synchronized
    fun hasOldClaims(): Boolean = claims.values.any { it.keptAt.elapsedNow() > keepTime.toKotlinDuration() }
}
