package io.limpetfold.router.operate

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.time.Duration
import kotlin.random.Random

/**
 * Runs the periodic background tasks of the router, each in its own loop so that a slow one does not delay the others.
 */
internal class Maintenance(
    private val scope: CoroutineScope,
    private val random: Random,
) {
    private val jobs = mutableListOf<Job>()

    /** Repeats [round] about every [interval]; a failure is logged and does not end the loop. */
    fun every(
        interval: Duration,
        name: String,
        round: suspend () -> Unit,
    ) {
        jobs +=
            scope.launch {
                while (true) {
                    try {
                        round()
                    } catch (e: CancellationException) {
                        throw e
                    } catch (e: Exception) {
                        LOGGER.error("maintenance: round failed part={}", name, e)
                    }
                    delay(jittered(interval))
                }
            }
    }

    /** Cancels all loops and waits for them, so that none of them acquires again what a graceful shutdown releases. */
    suspend fun stop() {
        jobs.forEach { it.cancel() }
        jobs.joinAll()
    }

    /** Adds jitter, so that routers that started together do not call the platform at the same time. */
    private fun jittered(interval: Duration): Long =
        (
            interval.toMillis() *
                (1 - JITTER + 2 * JITTER * random.nextDouble())
        ).toLong()

    private companion object {
        const val JITTER = 0.1
        val LOGGER = LoggerFactory.getLogger(Maintenance::class.java)
    }
}
