package io.limpetfold.gateway.call

import io.limpetfold.gateway.MonotonicClock
import java.time.Duration

/**
 * Withdraws the choice of an endpoint that was made too long before the call can be written: the router waited for the
 * processor meanwhile, so that changes of the endpoints may lie unread in its sockets, and the endpoint would be told more
 * time than the call has left.
 *
 * One call is withdrawn [CallPolicy.maxOutdatedChoices] times at most, so that a router that is always late sends it in
 * the end.
 */
internal class ChoiceAge(
    private val clock: MonotonicClock,
    private val policy: CallPolicy,
) {
    private var chosenAt = Duration.ZERO
    private var outdatedChoices = 0

    /** An endpoint is chosen now. */
    fun onChosen() {
        chosenAt = clock.now()
    }

    /** Returns why the choice no longer holds, or null. */
    fun withdrawal(): String? {
        val age = clock.now() - chosenAt
        if (age <= policy.maxChoiceAge || outdatedChoices >= policy.maxOutdatedChoices) return null
        outdatedChoices++
        return "chosen ${age.toMillis()} ms ago"
    }
}
