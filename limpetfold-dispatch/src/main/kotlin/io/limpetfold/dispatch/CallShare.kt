package io.limpetfold.dispatch

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RendezvousHash

/** The part of the calls to an endpoint with a limit that this router may send. */
fun interface CallShare {
    /**
     * Returns the part, above 0 and up to 1, of the [callsPerSecond] that the endpoint [endpoint] takes from all routers
     * together.
     */
    fun of(
        endpoint: EndpointId,
        callsPerSecond: Double,
    ): Double

    companion object {
        /** The share of a router that is alone. */
        val WHOLE = CallShare { _, _ -> 1.0 }

        /**
         * The share of the router [self] among [routers], itself included.
         *
         * A router sends its first call before it paces the next one, so a limit divided among all routers of a large
         * fleet would be exceeded by their first calls. Few routers, chosen by rendezvous hashing without communication,
         * therefore get nearly all of it: [FIRST_CALLS] and three for each two calls a second. The others keep a small part,
         * with which they notice the end of the limit if nobody tells them.
         */
        fun among(
            self: String,
            routers: () -> Collection<String>,
        ) = CallShare { endpoint, callsPerSecond ->
            val known = routers()
            val userCount = (FIRST_CALLS + USERS_PER_CALL * callsPerSecond).toInt().coerceAtMost(known.size)
            when {
                userCount >= known.size -> 1.0 / known.size.coerceAtLeast(1)
                self in RendezvousHash.rank(endpoint.value, known) { it }.take(userCount) ->
                    (1 - OTHERS_PART) / userCount
                else -> OTHERS_PART / (known.size - userCount)
            }
        }

        private const val FIRST_CALLS = 4
        private const val USERS_PER_CALL = 1.5
        private const val OTHERS_PART = 0.1
    }
}
