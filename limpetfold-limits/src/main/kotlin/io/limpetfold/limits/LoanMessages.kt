package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The time for which one router holds one seat; loans belong to a tenure and end with it.
 *
 * @property number increases with each change of seat of the same router process.
 */
@Serializable
internal data class SeatTenure(
    val holder: Incarnation,
    val number: Int,
) {
    /** Returns whether this tenure is on the same instance as [other] and began later. */
    fun isAfter(other: SeatTenure): Boolean =
        holder.instance == other.holder.instance &&
            compareValuesBy(this, other, { it.holder.number }, { it.number }) > 0
}

/**
 * What a borrower reports to a lender about the slots of one endpoint, with the number of slots that it asks for.
 *
 * @property wanted further slots that the sender asks for.
 * @property isWithoutSlots whether the sender asks because it has no usable slot at all; the next idle slot is then
 * reserved for it when none is idle now.
 * @property lender the tenure that [receivedTotal] and [returnedTotal] refer to, or null when the sender knows none.
 * @property receivedTotal highest cumulative total of lent slots that the sender has received from [lender].
 * @property returnedTotal cumulative total of slots that the sender has returned to [lender].
 */
@Serializable
internal data class LoanReport(
    val endpoint: EndpointId,
    val wanted: Int = 0,
    val isWithoutSlots: Boolean = false,
    val lender: SeatTenure? = null,
    val receivedTotal: Long = 0,
    val returnedTotal: Long = 0,
)

/** The lender's reply for one endpoint: the cumulative total of slots that it has lent to the borrower. */
@Serializable
internal data class LoanGrant(
    val endpoint: EndpointId,
    val lentTotal: Long,
)

@Serializable
internal data class LoanRequest(
    @SerialName("asks") val reports: List<LoanReport>,
)

/**
 * Reply to a [LoanRequest].
 *
 * @property answeredBy the router that sends the reply.
 * @property lender the tenure of [answeredBy], or null when it has no seat and lends nothing.
 * @property returned for endpoints of which [answeredBy] borrowed from the requester: the totals of those loans.
 */
@Serializable
internal data class LoanReply(
    val answeredBy: Incarnation,
    val lender: SeatTenure?,
    val grants: List<LoanGrant>,
    val returned: List<LoanReport> = emptyList(),
)

/**
 * A notice that an endpoint is leaving.
 *
 * @property origin the router that observed it.
 * @property number unique among the notices of [origin].
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
