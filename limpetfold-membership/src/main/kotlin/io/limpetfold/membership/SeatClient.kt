package io.limpetfold.membership

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RendezvousHash
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoredObject
import io.limpetfold.store.TypedObject
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
 * @param maxPause must be longer than the interval of [maintain] and shorter than the absence after which an instance
 * counts as ended.
 */
class SeatClient(
    private val self: Incarnation,
    private val store: ObjectStore,
    private val monotonic: TimeSource,
    private val maxPause: Duration = Duration.ofSeconds(20),
    private val hasEnded: (Incarnation) -> Boolean,
) {
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
        if (heldSeat != null && needsConfirmation) confirmSeat()
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
            if (record?.holder == self) Change.Write(SeatRecord(null, isDrained)) else Change.Keep
        }
        LOGGER.info("membership: seat released seat={}", number)
    }

    private suspend fun confirmSeat() {
        val number = heldSeat?.number ?: return
        val record = seatObject(number).read().getOrElse { return }.value
        if (record?.holder != self) {
            LOGGER.warn("membership: seat was taken over during a pause seat={}", number)
            heldSeat = null
        }
        needsConfirmation = false
    }

    private suspend fun claimAnySeat(maxRouters: Int) {
        val page = store.list(PREFIX).getOrElse { return }
        val records = page.objects.associate { it.key.path to decode(it) }
        val numbers = RendezvousHash.rank(self.instance.value, 0 until maxRouters) { it.toString() }
        val ownNumber = numbers.firstOrNull { records[path(it)]?.holder == self }
        val candidates = listOfNotNull(ownNumber) + numbers.filter { isFree(records[path(it)]) }
        val claimed = candidates.firstNotNullOfOrNull { claimSeat(it) }
        if (claimed == null) {
            LOGGER.warn("membership: no free seat maxRouters={}", maxRouters)
            return
        }
        heldSeat = claimed
        needsConfirmation = false
        LOGGER.info("membership: seat taken seat={} unused={}", claimed.number, claimed.wasDrained)
    }

    private suspend fun claimSeat(number: Int): Seat? {
        val updated =
            seatObject(number).update<Unit>({ it.holder == self }) { record ->
                when {
                    record?.holder == self -> Change.Keep
                    isFree(record) ->
                        Change.Write(
                            SeatRecord(
                                self,
                                wasDrained =
                                    record == null || isReleasedDrained(record),
                            ),
                        )
                    else -> Change.Refuse(Unit)
                }
            }
        val record = updated.get()?.value ?: return null
        return if (record.holder == self) Seat(number, record.wasDrained) else null
    }

    private fun isReleasedDrained(record: SeatRecord): Boolean = record.holder == null && record.wasDrained

    private fun isFree(record: SeatRecord?): Boolean {
        val holder = record?.holder ?: return true
        // A newer process on an instance binds the same address, so the older one must have ended.
        val isEarlierIncarnation = holder.instance == self.instance && holder.number < self.number
        return isEarlierIncarnation || hasEnded(holder)
    }

    private fun decode(stored: StoredObject): SeatRecord? =
        try {
            TypedObject.JSON.decodeFromString(SeatRecord.serializer(), stored.value)
        } catch (e: SerializationException) {
            LOGGER.error("membership: seat object does not decode key={} cause=\"{}\"", stored.key, e.message)
            // An unreadable seat counts as held by another router, never as free.
            SeatRecord(UNKNOWN_HOLDER, wasDrained = false)
        }

    private fun seatObject(number: Int) = TypedObject(store, ObjectKey(path(number)), SeatRecord.serializer())

    private fun path(number: Int) = PREFIX + number

    private companion object {
        const val PREFIX = "seat/"
        val UNKNOWN_HOLDER = Incarnation(InstanceId("unknown"), Long.MAX_VALUE)
        val LOGGER = LoggerFactory.getLogger(SeatClient::class.java)
    }
}
