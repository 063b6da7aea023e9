package io.limpetfold.membership

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoredObject
import io.limpetfold.store.TypedObject
import io.limpetfold.store.Versioned
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import java.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Claims and holds one of the fleet's numbered seats; a seat gives a router its base share of each endpoint's capacity.
 *
 * A seat has no TTL: a router that is disconnected from the platform keeps it. Another router takes it over only when
 * [hasEnded] shows that its holder no longer runs. A router that was paused may have lost its seat meanwhile, so after
 * a pause longer than [maxPause] the seat is not used until it is read from the platform and confirmed.
 *
 * After a restore of the store from an older copy, the copy may lack seats that were taken since. Each record names the
 * era in which its write was based. A holder that was not paused writes its record again when it learns of the era. A
 * seat whose record is of an earlier era, or absent after the first restore, is taken only [restoreWait] after this
 * router learned of the era, and only if [seatsOfOthers] tells the seats of all other routers. In a store that was never
 * restored, nobody waits. What remains: a router that runs but is missing from the platform's list is not asked.
 *
 * @param era the latest era of the store that is known.
 * @param seatsOfOthers the seats that all other listed routers report in heartbeats, null while one of them is not
 * heard; the reports must be younger than [restoreWait] less [maxPause].
 * @param restoreWait must exceed [maxPause], after which a holder uses no seat that was granted before the restore
 * unless it confirms it.
 * @param maxPause must be longer than the interval of [maintain] and shorter than the absence after which an instance
 * counts as ended.
 */
class SeatClient(
    private val self: Incarnation,
    private val store: ObjectStore,
    private val monotonic: TimeSource,
    private val maxPause: Duration = Duration.ofSeconds(20),
    private val era: () -> Long = { 0 },
    private val seatsOfOthers: () -> Set<Int>? = { emptySet() },
    private val restoreWait: Duration = Duration.ofSeconds(60),
    private val hasEnded: (Incarnation) -> Boolean,
) {
    private var knownEra = 0L
    private var knownEraSince: TimeMark = monotonic.markNow()

    /** The era in which the record of [heldSeat] was last written or confirmed. */
    private var confirmedEra = 0L

    @Volatile
    private var heldSeat: Seat? = null

    @Volatile
    private var lastMaintainedAt: TimeMark = monotonic.markNow()

    @Volatile
    private var needsConfirmation = false

    /** The seat that this router may use now, or null. */
    val seat: Seat?
        get() {
            if (lastMaintainedAt.elapsedNow() > maxPause.toKotlinDuration()) needsConfirmation = true
            return heldSeat.takeUnless { needsConfirmation }
        }

    /**
     * Claims a free seat below [maxRouters] if none is held, confirms the held seat after a pause, and releases it when
     * it is not below [maxRouters]; call it periodically.
     */
    suspend fun maintain(maxRouters: Int) {
        val current = seat
        observeEra(era())
        if (heldSeat != null && (needsConfirmation || confirmedEra < knownEra)) confirmSeat()
        val isOutOfRange = current != null && current.number >= maxRouters
        if (isOutOfRange) release(isDrained = false)
        if (heldSeat == null) claimAnySeat(maxRouters)
        lastMaintainedAt = monotonic.markNow()
    }

    /**
     * Releases the seat, for example at a graceful shutdown; the router must not send to endpoints after this call.
     *
     * @param isDrained whether no slot of the seat is lent or in use, so that the next holder need not wait for their
     * return.
     */
    suspend fun release(isDrained: Boolean) {
        val number = heldSeat?.number ?: return
        heldSeat = null
        seatObject(number).update<Nothing>({ it.holder != self }) { record ->
            if (record?.holder == self) Change.Write(SeatRecord(null, isDrained, record.era)) else Change.Keep
        }
        LOGGER.info("membership: seat released seat={}", number)
    }

    private fun observeEra(era: Long) {
        if (era <= knownEra) return
        knownEra = era
        knownEraSince = monotonic.markNow()
    }

    /** Confirms the held seat, or writes its record again if a restore may have taken it back meanwhile. */
    private suspend fun confirmSeat() {
        val number = heldSeat?.number ?: return
        val read = seatObject(number).read().getOrElse { return }
        val era = if (read.value == null) knownEra else read.version.era
        observeEra(era)
        val wasPaused = needsConfirmation
        val isConfirmed =
            when {
                read.value?.era == era -> read.value?.holder == self
                wasPaused -> false
                else -> rewriteSeat(number, read, era) ?: return
            }
        if (isConfirmed) {
            confirmedEra = era
        } else {
            LOGGER.warn("membership: seat was taken over or may have been seat={} wasPaused={}", number, wasPaused)
            heldSeat = null
        }
        needsConfirmation = false
    }

    /** Returns whether the record is this router's again, null if that is not known yet. */
    private suspend fun rewriteSeat(
        number: Int,
        read: Versioned<SeatRecord>,
        era: Long,
    ): Boolean? {
        val own = SeatRecord(self, wasDrained = false, era)
        val written =
            seatObject(number)
                .updateVersioned<Unit>({ it.value == own && it.version.era == era }) {
                    if (it.version == read.version) Change.Write(own) else Change.Refuse(Unit)
                }.get() ?: return null
        return if (written.version.era == era) true else null
    }

    private suspend fun claimAnySeat(maxRouters: Int) {
        val startedAt = monotonic.markNow()
        val page = store.list(PREFIX).getOrElse { return }
        observeEra(page.position.era)
        val records = page.objects.associate { it.key.path to Versioned(decode(it), it.version) }
        val numbers = RendezvousHash.rank(self.instance.value, 0 until maxRouters) { it.toString() }
        val absent = Versioned<SeatRecord>(null, ObjectVersion.of(0, page.position.era))
        val ownNumber = numbers.firstOrNull { isOwn(records[path(it)] ?: absent) }
        val candidates = listOfNotNull(ownNumber) + numbers.filter { isFree(it, records[path(it)] ?: absent) }
        val claimed = candidates.firstNotNullOfOrNull { claimSeat(it, page.position.era) }
        if (claimed == null) {
            LOGGER.warn("membership: no free seat maxRouters={}", maxRouters)
            return
        }
        heldSeat = claimed
        confirmedEra = page.position.era
        needsConfirmation = startedAt.elapsedNow() > maxPause.toKotlinDuration()
        LOGGER.info("membership: seat taken seat={} unused={}", claimed.number, claimed.wasDrained)
    }

    private suspend fun claimSeat(
        number: Int,
        era: Long,
    ): Seat? {
        val updated =
            seatObject(number).updateVersioned<Unit>({ isOwn(it) }) { read ->
                val found = if (read.value == null) read.copy(version = ObjectVersion.of(0, era)) else read
                when {
                    found.version.era != era -> Change.Refuse(Unit)
                    isOwn(found) -> Change.Keep
                    isFree(number, found) -> Change.Write(SeatRecord(self, isDrained(found), era))
                    else -> Change.Refuse(Unit)
                }
            }
        val taken = updated.get()?.takeIf { it.version.era == era && isOwn(it) } ?: return null
        return Seat(number, taken.value?.wasDrained ?: false)
    }

    /** Whether this process wrote the record in the era in which it is stored. */
    private fun isOwn(read: Versioned<SeatRecord>): Boolean = read.value?.holder == self && isOfCurrentEra(read)

    private fun isOfCurrentEra(read: Versioned<SeatRecord>): Boolean = (read.value?.era ?: 0) == read.version.era

    private fun isDrained(read: Versioned<SeatRecord>): Boolean {
        val record = read.value
        return isOfCurrentEra(read) && (record == null || (record.holder == null && record.wasDrained))
    }

    private fun isFree(
        number: Int,
        read: Versioned<SeatRecord>,
    ): Boolean {
        if (!isOfCurrentEra(read) && !isKnownUnused(number)) return false
        val holder = read.value?.holder ?: return true
        // A newer process on an instance binds the same address, so the older one must have ended.
        val isEarlierIncarnation = holder.instance == self.instance && holder.number < self.number
        return holder == self || isEarlierIncarnation || hasEnded(holder)
    }

    /** Whether no router uses the seat without a record of the present era. */
    private fun isKnownUnused(number: Int): Boolean {
        if (knownEraSince.elapsedNow() < restoreWait.toKotlinDuration()) return false
        return seatsOfOthers()?.let { number !in it } ?: false
    }

    private fun decode(stored: StoredObject): SeatRecord? =
        try {
            TypedObject.JSON.decodeFromString(SeatRecord.serializer(), stored.value)
        } catch (e: SerializationException) {
            LOGGER.error("membership: seat object does not decode key={} cause=\"{}\"", stored.key, e.message)
            // An unreadable seat counts as held by another router, never as free.
            SeatRecord(UNKNOWN_HOLDER, wasDrained = false, era = stored.version.era)
        }

    private fun seatObject(number: Int) = TypedObject(store, ObjectKey(path(number)), SeatRecord.serializer())

    private fun path(number: Int) = PREFIX + number

    private companion object {
        const val PREFIX = "seat/"
        val UNKNOWN_HOLDER = Incarnation(InstanceId("unknown"), Long.MAX_VALUE)
        val LOGGER = LoggerFactory.getLogger(SeatClient::class.java)
    }
}
