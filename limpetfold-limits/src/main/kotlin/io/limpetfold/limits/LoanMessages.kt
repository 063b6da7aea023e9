package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/**
 * One tenure of a seat by one router; loans belong to it and end with it.
 *
 * @property number increases with each change of the router's seat.
 */
@Serializable
internal data class SeatTenure(
    val holder: Incarnation,
    val number: Int,
) {
    /** Returns whether this tenure began after [other] on the same instance. */
    fun isAfter(other: SeatTenure): Boolean =
        holder.instance == other.holder.instance &&
            compareValuesBy(this, other, { it.holder.number }, { it.number }) > 0
}

/**
 * Totals of one endpoint that a router reports to a peer.
 *
 * @property wanted slots that the sender asks for.
 * @property isWithoutSlots the sender has no slot of its own for the endpoint, so one is kept for it when none is idle.
 * @property lender the tenure that [receivedTotal] and [returnedTotal] refer to, or null when the sender knows none.
 * @property receivedTotal highest cumulative total of slots lent that the sender has seen.
 * @property returnedTotal cumulative total of slots that the sender returned.
 */
@Serializable
internal data class LoanAsk(
    val endpoint: EndpointId,
    val wanted: Int = 0,
    val isWithoutSlots: Boolean = false,
    val lender: SeatTenure? = null,
    val receivedTotal: Long = 0,
    val returnedTotal: Long = 0,
)

/** What a lender answers for one endpoint: the cumulative total of slots that it lent to the asker. */
@Serializable
internal data class LoanGrant(
    val endpoint: EndpointId,
    val lentTotal: Long,
)

@Serializable
internal data class LoanRequest(
    val asks: List<LoanAsk>,
)

/**
 * @property answeredBy the answering router.
 * @property lender its tenure, or null when it has no seat and lends nothing.
 * @property returned what the answering router returns to the asker, which is then the lender.
 */
@Serializable
internal data class LoanReply(
    val answeredBy: Incarnation,
    val lender: SeatTenure?,
    val grants: List<LoanGrant>,
    val returned: List<LoanAsk> = emptyList(),
)

/**
 * An endpoint that was seen leaving.
 *
 * @property origin the router that saw it, with [number] unique within it.
 */
@Serializable
internal data class LeavingNotice(
    val endpoint: EndpointId,
    val origin: Incarnation,
    val number: Long,
)

@Serializable
internal data class LeavingNotices(
    val notices: List<LeavingNotice>,
)

@Serializable
internal data class LeavingAcknowledged(
    val count: Int,
)

internal object LimitTopics {
    val LOANS = PeerTopic("limits.loans", LoanRequest.serializer(), LoanReply.serializer())
    val LEAVING = PeerTopic("limits.leaving", LeavingNotices.serializer(), LeavingAcknowledged.serializer())
}
