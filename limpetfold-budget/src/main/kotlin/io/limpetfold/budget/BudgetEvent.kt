package io.limpetfold.budget

import io.limpetfold.core.InstanceId
import io.limpetfold.core.WorkspaceId

/** Something that an agent, a lender or a borrower of tokens did, for logs and metrics. */
sealed interface BudgetEvent {
    val workspace: WorkspaceId

    /** Names the kind of event, as counters do. */
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
                is Refused -> "refused"
            }

    /** The ledger was read, and written if something had changed; [acquiredTokens] were credited and [freeTokens] are left. */
    data class Synchronised(
        override val workspace: WorkspaceId,
        val acquiredTokens: Long,
        val freeTokens: Long,
    ) : BudgetEvent

    /** The platform did not serve a call; [message] says why. */
    data class PlatformFailed(
        override val workspace: WorkspaceId,
        val message: String,
    ) : BudgetEvent

    /** A peer gave tokens. */
    data class TransferReceived(
        override val workspace: WorkspaceId,
        val from: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** Tokens were given to a peer. */
    data class TransferSent(
        override val workspace: WorkspaceId,
        val to: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** Another router lent tokens. */
    data class Borrowed(
        override val workspace: WorkspaceId,
        val from: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** Tokens were lent to another router. */
    data class Lent(
        override val workspace: WorkspaceId,
        val to: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** A loan ended without word of its borrower, so what was left of it counts as spent. */
    data class LoanWrittenOff(
        override val workspace: WorkspaceId,
        val borrower: InstanceId,
        val tokens: Long,
    ) : BudgetEvent

    /** A reservation was refused. */
    data class Refused(
        val refusal: BudgetRefusal,
    ) : BudgetEvent {
        override val workspace get() = refusal.workspace
    }
}
