package io.limpetfold.dispatch

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RendezvousHash

/** The part of the calls to an endpoint with a limit that this router may send. */
fun interface CallShare {
    /** Returns the part of the [callsPerSecond] that the endpoint [endpoint] takes from all routers together. */
    fun of(
        endpoint: EndpointId,
        callsPerSecond: Double,
    ): Part

    /**
     * The part of one router.
     *
     * @property fraction above 0, up to 1.
     * @property savesCalls whether a call that was not sent may be sent later.
     */
    data class Part(
        val fraction: Double,
        val savesCalls: Boolean,
    )

    companion object {
        /** The share of a router that is alone. */
        val WHOLE = CallShare { _, _ -> Part(1.0, savesCalls = true) }

        /**
         * The share of the router [self] among [routers], itself included.
         *
         * After a quiet time each router may send a call at once, so a limit divided among all routers of a large fleet
         * would be exceeded by these calls. Few routers, chosen by rendezvous hashing without communication, therefore get
         * nearly all of it: [FIRST_CALLS] and three for each two calls a second. The others keep a small part, with which
         * they notice the end of the limit if nobody tells them, and save no calls.
         */
        fun among(
            self: String,
            routers: () -> Collection<String>,
        ) = CallShare { endpoint, callsPerSecond ->
            val known = routers()
            val userCount = (FIRST_CALLS + USERS_PER_CALL * callsPerSecond).toInt().coerceAtMost(known.size)
            when {
                userCount >= known.size -> Part(1.0 / known.size.coerceAtLeast(1), savesCalls = true)
                self in RendezvousHash.rank(endpoint.value, known) { it }.take(userCount) ->
                    Part((1 - OTHERS_FRACTION) / userCount, savesCalls = true)
                else -> Part(OTHERS_FRACTION / (known.size - userCount), savesCalls = false)
            }
        }

        private const val FIRST_CALLS = 4
        private const val USERS_PER_CALL = 1.5
        private const val OTHERS_FRACTION = 0.1
    }
}
