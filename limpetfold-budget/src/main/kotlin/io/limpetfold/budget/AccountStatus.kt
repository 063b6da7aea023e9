package io.limpetfold.budget

import io.limpetfold.core.WorkspaceId

/** A local account as shown to operators. */
data class AccountStatus(
    val workspace: WorkspaceId,
    val state: AccountState,
    val grantedTokens: Long,
    val spentTokens: Long,
    val reservedTokens: Long,
    val availableTokens: Long,
    val reportedSpentTokens: Long,
    val tokensPerSecond: Double,
)
