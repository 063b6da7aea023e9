package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex

/** The account of one workspace with what its callers share; all mutable fields are guarded by the slot's monitor. */
internal class AccountSlot(
    val workspace: WorkspaceId,
    holder: Incarnation,
    @Volatile var policy: BudgetPolicy,
) {
    private val changeCount = MutableStateFlow(0L)

    /** Changes whenever tokens may have become available. */
    val changes: StateFlow<Long> get() = changeCount

    /** Serialises this router's updates of the ledger, so that at most one of its writes has an unknown outcome. */
    val platformAccess = Mutex()

    var account = LocalAccount(holder)
        private set
    var refill: CompletableDeferred<Unit>? = null
    var failure: RefillFailure? = null
    var waitingTokens = 0L
    var retryAtMillis = 0L
    var retryDelayMillis = 0L
    var syncedAtMillis = 0L

    /** Earlier incarnations of this instance that have an open entry in the version last seen. */
    var predecessors: ImmutableList<Incarnation> = persistentListOf()

    /** Whether a write may have created an entry in the ledger. */
    var isRegistering = false

    /** Replaces the account and returns the new one; wakes waiting callers when it has more tokens or another state. */
    fun change(transform: (LocalAccount) -> LocalAccount): LocalAccount {
        val (before, after) =
            synchronized(this) {
                val before = account
                account = transform(before)
                before to account
            }
        if (after.availableTokens > before.availableTokens || after.state != before.state) changeCount.update { it + 1 }
        return after
    }

    /** Whether an attempt for [tokens] would repeat a failed one too soon; one for fewer tokens can have another outcome. */
    fun isDelayed(
        tokens: Long,
        nowMillis: Long,
    ): Boolean {
        val last = failure ?: return false
        val isSmaller = last is RefillFailure.Insufficient && tokens < last.neededTokens
        return nowMillis < retryAtMillis && !isSmaller
    }

    /** Runs [action] under the monitor; it must not suspend or block. */
    inline fun <T> locked(action: AccountSlot.() -> T): T = synchronized(this) { action() }
}
