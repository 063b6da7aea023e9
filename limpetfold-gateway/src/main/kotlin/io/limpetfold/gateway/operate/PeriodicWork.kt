package io.limpetfold.gateway.operate

import io.limpetfold.gateway.observe.DecisionLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration
import kotlin.random.Random

/** Repeats background work with jitter; a failure is logged and the work goes on. */
internal class PeriodicWork(
    private val scope: CoroutineScope,
    private val random: Random,
    private val log: DecisionLog,
) {
    /** Runs [work] now and then again, each time about [interval] after it ended. */
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
                delay(random.nextLong(millis - millis / JITTER_PART, millis + millis / JITTER_PART + 1))
            }
        }
    }

    private companion object {
        const val JITTER_PART = 5
    }
}
