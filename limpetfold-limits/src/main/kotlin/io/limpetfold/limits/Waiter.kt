package io.limpetfold.limits

import com.github.michaelbull.result.Result
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.TimeMark

/** A request that waits for a slot; [outcome] is guarded by the lock of the [EndpointLimiter]. */
internal class Waiter(
    val route: RouteId,
    val workspace: WorkspaceId,
    val candidates: List<EndpointCandidate>,
    val enqueuedAt: TimeMark,
) {
    var outcome: Result<EndpointPermit, LimitRefusal>? = null

    /**
     * Completed after [outcome] is set and the lock is released, because completing it may resume the waiter at once.
     */
    val completion = CompletableDeferred<Unit>()
}
