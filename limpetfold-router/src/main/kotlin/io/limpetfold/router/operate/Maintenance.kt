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

/** Runs the background rounds of the parts, each in a loop of its own so that a slow one holds up no other. */
internal class Maintenance(
    private val scope: CoroutineScope,
    private val random: Random,
) {
    private val jobs = mutableListOf<Job>()

    /** Repeats [round] about every [interval]; a failed round is logged and the next one runs. */
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

    /** Ends all loops and waits for them, so that none of them takes back what a planned stop releases. */
    suspend fun stop() {
        jobs.forEach { it.cancel() }
        jobs.joinAll()
    }

    /** Spreads the rounds of routers that started together, so that their calls to the platform do not coincide. */
    private fun jittered(interval: Duration): Long = (interval.toMillis() * (1 - JITTER + 2 * JITTER * random.nextDouble())).toLong()

    private companion object {
        const val JITTER = 0.1
        val LOGGER = LoggerFactory.getLogger(Maintenance::class.java)
    }
}
