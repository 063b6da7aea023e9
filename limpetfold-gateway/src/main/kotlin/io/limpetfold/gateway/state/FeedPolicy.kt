package io.limpetfold.gateway.state

import java.time.Duration

/**
 * Times of an [ObjectFeed].
 *
 * @property watchWait how long one watch waits for a change; a connection that fell silent is noticed after this time and a call's timeout.
 * @property pauseAfterEmpty the pause after a watch that ended without a change, so that a store that does not wait keeps no event loop busy.
 * @property pauseAfterChange the pause after a watch that ended with a change; the next one then brings several changes in one call.
 * @property backoffMin the first pause after a failed call; doubles up to [backoffMax], with jitter.
 */
data class FeedPolicy(
    val watchWait: Duration = WATCH_WAIT,
    val pauseAfterEmpty: Duration = Duration.ofMillis(20),
    val pauseAfterChange: Duration = Duration.ZERO,
    val backoffMin: Duration = Duration.ofMillis(60),
    val backoffMax: Duration = BACKOFF_MAX,
) {
    private companion object {
        val WATCH_WAIT: Duration = Duration.ofMillis(2_000)
        val BACKOFF_MAX: Duration = Duration.ofMillis(600)
    }
}
