package io.limpetfold.router.call

import io.limpetfold.budget.Reservation
import io.limpetfold.core.Incarnation
import io.limpetfold.router.chat.ChatRequest
import io.limpetfold.router.chat.TokenMeter
import kotlinx.coroutines.Job
import java.util.concurrent.atomic.AtomicReference

/** One run of a model request under a reservation; it is billed here or handed over, never both. */
internal class BillableRun(
    val chat: ChatRequest,
    val reservation: Reservation,
    val meter: TokenMeter,
    val takeovers: Int,
) {
    private val current = AtomicReference(BillState.OPEN)

    /** The slot in use, or null before an endpoint was found. */
    @Volatile
    var attempt: Attempt? = null

    /** The coroutine that serves the caller. */
    @Volatile
    var job: Job? = null

    val state: BillState get() = current.get()

    /** Returns true exactly once, for the one that bills the run. */
    fun tryBill(): Boolean = current.compareAndSet(BillState.OPEN, BillState.BILLED)

    /** Ends the run without a bill because it cost nothing; returns false when another router took it over. */
    fun discard(): Boolean = current.compareAndSet(BillState.OPEN, BillState.DISCARDED)

    /** Who took the run over, or null. */
    @Volatile
    var takenBy: Incarnation? = null
        private set

    /** Ends the run without a bill unless it was billed or handed to another router; a repeated question of [taker] gets the same answer. */
    fun handOver(taker: Incarnation): TakeoverReply =
        synchronized(this) {
            if (current.compareAndSet(BillState.OPEN, BillState.HANDED_OVER)) {
                takenBy = taker
                job?.cancel()
            }
            TakeoverReply.of(current.get(), takenBy, taker)
        }
}
