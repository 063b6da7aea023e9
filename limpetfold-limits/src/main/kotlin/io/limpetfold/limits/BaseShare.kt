package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RendezvousHash

/** The share of an endpoint's slots that a seat has without any communication. */
object BaseShare {
    /**
     * Returns the slots of [seat] out of [maxInFlight]; the sum over all seats below [maxRouters] is [maxInFlight].
     *
     * The remainder of the division goes to seats by rendezvous rank, so that it falls on other seats for each endpoint.
     * A null seat, or one outside the range, has no share.
     */
    fun of(
        endpoint: EndpointId,
        maxInFlight: Int,
        seat: Int?,
        maxRouters: Int,
    ): Int {
        require(maxInFlight >= 0) { "maxInFlight of endpoint $endpoint must not be negative" }
        if (seat == null || maxRouters <= 0 || seat !in 0 until maxRouters) return 0
        val remainder = maxInFlight % maxRouters
        if (remainder == 0) return maxInFlight / maxRouters
        val rank = RendezvousHash.rank(endpoint.value, 0 until maxRouters) { it.toString() }.indexOf(seat)
        return maxInFlight / maxRouters + if (rank < remainder) 1 else 0
    }
}
