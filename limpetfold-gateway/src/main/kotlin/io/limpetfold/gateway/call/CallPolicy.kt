package io.limpetfold.gateway.call

import java.time.Duration

/**
 * Limits of one forwarded call.
 *
 * @property maxBodiesBytes maximum size of the request bodies of all calls together. Bodies are buffered completely so
 * that they can be sent to another endpoint.
 * @property maxBufferedResponseBytes a response up to this size is buffered completely before its first byte goes to
 * the caller, so that the call can still be retried if the response is interrupted.
 * @property maxBudgetWait maximum wait for tokens of a budget.
 * @property minAttemptTime minimum remaining time for which a call is still sent to an endpoint.
 * @property maxConnectFailures number of unreachable endpoints that are tolerated before a call is refused.
 * @property maxChoiceAge how long after the choice of an endpoint a call may still be written there. Opening a connection
 * takes a few milliseconds on a router that gets the processor; after this time the endpoint is chosen again, since it would
 * be told that much more time than the call has left.
 * @property maxOutdatedChoices how often the endpoint of one call is chosen again for that reason.
 * @property maxWithdrawals how often one call is withdrawn for any reason before it is refused as not run.
 * @property pendingReadTime how long a call that was withdrawn waits for the event loop to read what has arrived.
 * @property firstEventTimeout a resumable stream without an event yet, whose endpoint sent no byte on any connection for
 * this long, is sent to another endpoint if one can take it.
 * @property stallTimeout a resumable stream whose endpoint sent no byte on any connection for this long is resumed at
 * another endpoint if one can take it. Endpoints without a fault may be silent for about a second.
 * @property retryAfterMin minimum `Retry-After` of a refusal that is transient or specific to this router.
 * @property retryAfterMax maximum `Retry-After`; the values are spread between both limits so that callers do not all
 * retry at once.
 */
data class CallPolicy(
    val maxBodiesBytes: Long = Runtime.getRuntime().maxMemory() / BODIES_HEAP_DIVISOR,
    val maxBufferedResponseBytes: Int = MAX_BUFFERED_RESPONSE_BYTES,
    val maxBudgetWait: Duration = MAX_BUDGET_WAIT,
    val minAttemptTime: Duration = Duration.ofMillis(20),
    val maxConnectFailures: Int = 4,
    val maxChoiceAge: Duration = MAX_CHOICE_AGE,
    val maxOutdatedChoices: Int = 2,
    val maxWithdrawals: Int = 8,
    val pendingReadTime: Duration = Duration.ofMillis(5),
    val firstEventTimeout: Duration = FIRST_EVENT_TIMEOUT,
    val stallTimeout: Duration = STALL_TIMEOUT,
    val retryAfterMin: Duration = Duration.ofMillis(60),
    val retryAfterMax: Duration = RETRY_AFTER_MAX,
) {
    private companion object {
        /** A body is held once on the heap and once while it is written, next to what the router needs itself. */
        const val BODIES_HEAP_DIVISOR = 4L
        const val MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
        val MAX_BUDGET_WAIT: Duration = Duration.ofMillis(600)
        val FIRST_EVENT_TIMEOUT: Duration = Duration.ofMillis(700)

        val MAX_CHOICE_AGE: Duration = Duration.ofMillis(250)

        /** Leaves half a second to resume a stream before the most impatient callers give it up. */
        val STALL_TIMEOUT: Duration = Duration.ofMillis(1_500)
        val RETRY_AFTER_MAX: Duration = Duration.ofMillis(250)
    }
}
