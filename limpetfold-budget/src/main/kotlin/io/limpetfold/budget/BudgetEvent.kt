package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.WorkspaceId

/** An event of a budget agent, a lender or a borrower, for logs and metrics. */
sealed interface BudgetEvent {
    val workspace: WorkspaceId

    /** The name of the event type in metrics. */
    val name: String
        get() =
            when (this) {
                is Synchronised -> "synchronised"
                is PlatformFailed -> "platform_failed"
                is TransferReceived -> "transfer_received"
                is TransferSent -> "transfer_sent"
                is Borrowed -> "borrowed"
                is Lent -> "lent"
                is LoanWrittenOff -> "loan_written_off"
                is LoanReleased -> "loan_released"
                is PredecessorClosed -> "predecessor_closed"
                is HoldingConfirmed -> "holding_confirmed"
                is Refused -> "refused"
            }

    /** The ledger was read, and written if something had changed; [acquiredTokens] were credited and left [balance]. */
    data class Synchronised(
        override val workspace: WorkspaceId,
        val acquiredTokens: Long,
        val balance: LedgerBalance,
    ) : BudgetEvent

    /** A call to the platform failed with the error [message]. */
    data class PlatformFailed(
        override val workspace: WorkspaceId,
        val message: String,
    ) : BudgetEvent

    /** A peer sent tokens to this router. */
    data class TransferReceived(
        override val workspace: WorkspaceId,
        val from: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** This router sent tokens to a peer. */
    data class TransferSent(
        override val workspace: WorkspaceId,
        val to: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** Another router lent tokens to this router. */
    data class Borrowed(
        override val workspace: WorkspaceId,
        val from: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** This router lent tokens to another router. */
    data class Lent(
        override val workspace: WorkspaceId,
        val to: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** The process of a borrower was replaced before it reported these [tokens], so they count as spent. */
    data class LoanWrittenOff(
        override val workspace: WorkspaceId,
        val borrower: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** A borrower no longer has a loan of which it never got these [tokens], so they are unspent. */
    data class LoanReleased(
        override val workspace: WorkspaceId,
        val borrower: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** This router closed the entry of [holder], an earlier process of the instance. */
    data class PredecessorClosed(
        override val workspace: WorkspaceId,
        val holder: Incarnation,
    ) : BudgetEvent

    /**
     * A ledger has the totals of this router's account again, after the store was restored from an older copy.
     *
     * @property era the era of the store.
     * @property heldTokens the tokens that the account has got less those sent and returned, spent ones included.
     * @property withheldTokens the tokens that are not granted until all holders have confirmed their totals.
     */
    data class HoldingConfirmed(
        override val workspace: WorkspaceId,
        val era: Long,
        val heldTokens: Long,
        val withheldTokens: Long,
    ) : BudgetEvent

    /** A reservation was refused. */
    data class Refused(
        val refusal: BudgetRefusal,
    ) : BudgetEvent {
        override val workspace get() = refusal.workspace
    }
}
