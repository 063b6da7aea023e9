package io.limpetfold.gateway.operate

import io.limpetfold.gateway.observe.DecisionLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration
import kotlin.random.Random

/** Repeats background work with jitter; an exception is logged and does not end the repetition. */
internal class PeriodicWork(
    private val scope: CoroutineScope,
    private val random: Random,
    private val log: DecisionLog,
) {
    /** Runs [work] immediately and again about [interval] after the end of each run. */
    fun every(
        interval: Duration,
        name: String,
        work: suspend () -> Unit,
    ) {
        scope.launch {
            while (true) {
                try {
                    work()
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.warn("work.failed", "work" to name, "reason" to e.toString())
                }
                val millis = interval.toMillis()
                delay(random.nextLong(millis - millis / JITTER_DIVISOR, millis + millis / JITTER_DIVISOR + 1))
            }
        }
    }

    private companion object {
        const val JITTER_DIVISOR = 5
    }
}
