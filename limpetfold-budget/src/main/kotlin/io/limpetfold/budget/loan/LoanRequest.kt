package io.limpetfold.budget.loan

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests tokens from a lender and reports the use of earlier ones; all totals are cumulative over one loan.
 *
 * @property borrower the process that requests tokens.
 * @property number identifies the loan within the borrower and workspace; a later loan has a higher number.
 * @property neededTokens the minimum number of tokens that is of use; 0 requests none.
 * @property maxTokens the maximum number of tokens to lend in response.
 * @property maxWaitMillis the maximum time that the lender may wait for tokens.
 * @property seenTokens the total lent that the borrower has seen.
 * @property spentTokens the total spent of the loan.
 * @property returnedTokens the total returned; the borrower no longer spends these tokens.
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
    /** Whether the borrower has seen no tokens of this loan yet, so that the lender may open it. */
    val isFirst: Boolean get() = seenTokens == 0L && spentTokens == 0L && returnedTokens == 0L
}

internal val LOAN_TOPIC: PeerTopic<LoanRequest, LoanReply> =
    PeerTopic("budget.loan", LoanRequest.serializer(), LoanReply.serializer())
