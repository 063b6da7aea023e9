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
 * Holds one of the fleet's numbered seats; a seat fixes a router's base share of each endpoint's capacity.
 *
 * A seat has no time to live: a router that is cut off from the platform keeps it. It is taken over only when [hasEnded] says that
 * its holder no longer runs. A router that was paused may have lost its seat meanwhile, so after a pause longer than [pauseBound] the seat
 * is unusable until the platform confirmed it again.
 *
 * @param pauseBound longer than the interval of [maintain], shorter than the absence after which an instance counts as ended.
 */
class SeatClient(
    private val self: Incarnation,
    private val store: ObjectStore,
    private val monotonic: TimeSource,
    private val pauseBound: Duration = Duration.ofSeconds(20),
    private val hasEnded: (Incarnation) -> Boolean,
) {
    @Volatile
    private var held: Seat? = null

    @Volatile
    private var lastRound: TimeMark = monotonic.markNow()

    @Volatile
    private var isSuspect = false

    /** The seat that this router may use now, or null. */
    val seat: Seat?
        get() {
            if (lastRound.elapsedNow() > pauseBound.toKotlinDuration()) isSuspect = true
            return held.takeUnless { isSuspect }
        }

    /** Takes a free seat below [maxRouters], or confirms the one that is held after a pause. */
    suspend fun maintain(maxRouters: Int) {
        val current = seat
        if (held != null && isSuspect) confirm()
        val isOutOfRange = current != null && current.number >= maxRouters
        if (isOutOfRange) release(isDrained = false)
        if (held == null) take(maxRouters)
        lastRound = monotonic.markNow()
    }

    /**
     * Frees the seat at a planned stop; the router must not send to endpoints after this call.
     *
     * @param isDrained whether no slot of the seat is lent or in use, so that the next holder need not wait.
     */
    suspend fun release(isDrained: Boolean) {
        val number = held?.number ?: return
        held = null
        seatObject(number).update<Nothing>({ it.holder != self }) { record ->
            if (record?.holder == self) Change.Write(SeatRecord(null, isDrained)) else Change.Keep
        }
        LOGGER.info("membership: seat released seat={}", number)
    }

    private suspend fun confirm() {
        val number = held?.number ?: return
        val record = seatObject(number).read().getOrElse { return }.value
        if (record?.holder != self) {
            LOGGER.warn("membership: seat was taken over during a pause seat={}", number)
            held = null
        }
        isSuspect = false
    }

    private suspend fun take(maxRouters: Int) {
        val page = store.list(PREFIX).getOrElse { return }
        val records = page.objects.associate { it.key.path to decode(it) }
        val numbers = RendezvousHash.rank(self.instance.value, 0 until maxRouters) { it.toString() }
        val own = numbers.firstOrNull { records[path(it)]?.holder == self }
        val candidates = listOfNotNull(own) + numbers.filter { isFree(records[path(it)]) }
        val taken = candidates.firstNotNullOfOrNull { claim(it) }
        if (taken == null) {
            LOGGER.warn("membership: no free seat maxRouters={}", maxRouters)
            return
        }
        held = taken
        isSuspect = false
        LOGGER.info("membership: seat taken seat={} unused={}", taken.number, taken.wasDrained)
    }

    private suspend fun claim(number: Int): Seat? {
        val updated =
            seatObject(number).update<Unit>({ it.holder == self }) { record ->
                when {
                    record?.holder == self -> Change.Keep
                    isFree(record) -> Change.Write(SeatRecord(self, wasDrained = record == null || isReleasedUnused(record)))
                    else -> Change.Refuse(Unit)
                }
            }
        val record = updated.get()?.value ?: return null
        return if (record.holder == self) Seat(number, record.wasDrained) else null
    }

    private fun isReleasedUnused(record: SeatRecord): Boolean = record.holder == null && record.wasDrained

    private fun isFree(record: SeatRecord?): Boolean {
        val holder = record?.holder ?: return true
        // A newer process on the same instance binds the same address, which proves that the older one ended.
        val isOwnPast = holder.instance == self.instance && holder.number < self.number
        return isOwnPast || hasEnded(holder)
    }

    private fun decode(stored: StoredObject): SeatRecord? =
        try {
            TypedObject.JSON.decodeFromString(SeatRecord.serializer(), stored.value)
        } catch (e: SerializationException) {
            LOGGER.error("membership: seat object does not decode key={} cause=\"{}\"", stored.key, e.message)
            // An unreadable seat counts as held by somebody else, never as free.
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
