package io.limpetfold.gateway.state

import java.time.Duration

/**
 * Times of an [ObjectFeed].
 *
 * @property watchWait how long one watch waits for a change.
 * @property responseMargin the time beyond [watchWait] after which a watch without a response is repeated, because its
 * connection may have stopped responding without being closed. Changes are unseen until then.
 * @property pauseAfterEmpty pause after a watch that ended without a change, so that a store that returns immediately
 * does not keep the event loop busy.
 * @property pauseAfterChange pause after a watch that ended with a change, so that the next watch returns several
 * changes in one call.
 * @property backoffMin maximum delay after the first failed call; it doubles with each further failure up to
 * [backoffMax]. The delay is random between half of the maximum and the maximum.
 */
data class FeedPolicy(
    val watchWait: Duration = WATCH_WAIT,
    val responseMargin: Duration = RESPONSE_MARGIN,
    val pauseAfterEmpty: Duration = Duration.ofMillis(20),
    val pauseAfterChange: Duration = Duration.ZERO,
    val backoffMin: Duration = Duration.ofMillis(60),
    val backoffMax: Duration = BACKOFF_MAX,
) {
    private companion object {
        val WATCH_WAIT: Duration = Duration.ofMillis(2_000)
        val RESPONSE_MARGIN: Duration = Duration.ofMillis(800)
        val BACKOFF_MAX: Duration = Duration.ofMillis(600)
    }
}
