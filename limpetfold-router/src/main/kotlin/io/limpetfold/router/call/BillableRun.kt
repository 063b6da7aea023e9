package io.limpetfold.router.call

import io.limpetfold.budget.Reservation
import io.limpetfold.core.Incarnation
import io.limpetfold.router.chat.ChatRequest
import io.limpetfold.router.chat.TokenMeter
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/**
 * One run of a model request under a reservation; it is billed here or handed over, never both.
 *
 * @property takeovers how often the request was taken over before this run.
 */
internal class BillableRun(
    val chat: ChatRequest,
    val reservation: Reservation,
    val meter: TokenMeter,
    val takeovers: Int,
) {
    private val current = AtomicReference(BillingState.OPEN)

    /** The current attempt, or null before an endpoint was found. */
    @Volatile
    var attempt: Attempt? = null

    /** The coroutine that serves the caller; a handover cancels it, also one that came before the coroutine was set. */
    var job: Job? = null
        set(value) =
            synchronized(this) {
                field = value
                if (state == BillingState.HANDED_OVER) value?.cancel()
            }

    val state: BillingState get() = current.get()

    /** Marks the run as billed; returns true only once, and only when it was neither discarded nor handed over. */
    fun tryBill(): Boolean = current.compareAndSet(BillingState.OPEN, BillingState.BILLED)

    /** Marks the run as not billed because it cost nothing; returns false when it was billed or handed over before. */
    fun discard(): Boolean = current.compareAndSet(BillingState.OPEN, BillingState.DISCARDED)

    /** The router that took the run over, or null. */
    @Volatile
    var takenBy: Incarnation? = null
        private set

    /**
     * Hands the run over to [taker] without billing it, unless it was billed or handed over before. A repeated request
     * of the same [taker] gets the same reply.
     */
    fun handOver(taker: Incarnation): TakeoverReply =
        synchronized(this) {
            if (current.compareAndSet(BillingState.OPEN, BillingState.HANDED_OVER)) {
                takenBy = taker
                job?.cancel()
            }
            TakeoverReply.of(current.get(), takenBy, taker)
        }
}
