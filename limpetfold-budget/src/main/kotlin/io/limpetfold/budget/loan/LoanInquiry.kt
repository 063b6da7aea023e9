package io.limpetfold.budget.loan

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/**
 * Asks a borrower which of its loans it still has.
 *
 * @property loans the loans that the lender has not heard of for a while.
 */
@Serializable
internal data class LoanInquiry(
    val loans: List<LoanName>,
)

/**
 * Identifies a loan of one borrower.
 *
 * @property number the number of the loan, which its borrower never uses again.
 */
@Serializable
internal data class LoanName(
    val workspace: WorkspaceId,
    val number: Long,
)

/**
 * Responds to a [LoanInquiry].
 *
 * @property process the process that responds.
 * @property ended the loans that this process no longer has, and so will never spend tokens of.
 */
@Serializable
internal data class LoanInquiryReply(
    val process: Incarnation,
    val ended: Set<LoanName>,
)

internal val LOAN_INQUIRY_TOPIC: PeerTopic<LoanInquiry, LoanInquiryReply> =
    PeerTopic("budget.loan-inquiry", LoanInquiry.serializer(), LoanInquiryReply.serializer())
