package io.limpetfold.budget.loan

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a lender for tokens and tells what became of the earlier ones; all totals are cumulative over one loan.
 *
 * @property borrower the process that asks.
 * @property number identifies the loan within the borrower and workspace; a new loan has a higher one.
 * @property neededTokens the least that is of use; 0 asks for none.
 * @property maxTokens the most that the borrower can use soon.
 * @property maxWaitMillis the longest that the borrower waits for the lender's own refill.
 * @property seenTokens the total lent, as the borrower has seen it.
 * @property spentTokens the total spent of the loan.
 * @property returnedTokens the total given back; the borrower doesn't spend these any more.
 */
@Serializable
internal data class LoanRequest(
    val workspace: WorkspaceId,
    val borrower: Incarnation,
    val number: Long,
    val neededTokens: Long,
    @SerialName("mostTokens")
    val maxTokens: Long,
    @SerialName("patienceMillis")
    val maxWaitMillis: Long,
    val seenTokens: Long,
    val spentTokens: Long,
    val returnedTokens: Long,
) {
    /** Whether the borrower has had no answer of this loan yet. */
    val isFirst: Boolean get() = seenTokens == 0L && spentTokens == 0L && returnedTokens == 0L
}

internal val LOAN_TOPIC: PeerTopic<LoanRequest, LoanReply> =
    PeerTopic("budget.loan", LoanRequest.serializer(), LoanReply.serializer())
