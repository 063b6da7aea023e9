package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RendezvousHash

/** The share of an endpoint's slots that each seat owns; every router computes it without communication. */
object BaseShare {
    /**
     * Returns how many of [maxInFlight] slots belong to [seat]; over all seats from 0 until [maxRouters] the sum is
     * [maxInFlight].
     *
     * The remainder of the division goes to seats by rendezvous rank, so that different endpoints give it to different
     * seats. A null seat, or one outside the range, has no share.
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
