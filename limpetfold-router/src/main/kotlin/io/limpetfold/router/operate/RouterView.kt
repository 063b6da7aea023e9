package io.limpetfold.router.operate

import kotlinx.serialization.Serializable

/** The state of a router as shown at its operators' port. */
@Serializable
data class RouterView(
    val instance: String,
    val incarnation: Long,
    val zone: String,
    val readiness: String,
    val generation: Long,
    val seat: Int?,
    val isMoveController: Boolean,
    val members: List<MemberView>,
    val endpoints: List<EndpointView>,
    val budgets: List<BudgetView>,
    val moves: List<MoveView>,
    val bufferedBytes: Long,
) {
    /** Another router, as of its last heartbeat. */
    @Serializable
    data class MemberView(
        val instance: String,
        val incarnation: Long,
        val zone: String,
        val generation: Long,
        val isDraining: Boolean,
    )

    /** This router's use of an endpoint; a slot is one request in flight. */
    @Serializable
    data class EndpointView(
        val endpoint: String,
        val isInRotation: Boolean,
        val baseSlots: Int,
        val borrowedSlots: Int,
        val lentSlots: Int,
        val inFlight: Int,
    )

    /** The tokens of one workspace that this router holds. */
    @Serializable
    data class BudgetView(
        val workspace: String,
        val grantedTokens: Long,
        val spentTokens: Long,
        val reservedTokens: Long,
    )

    /** A move as this router knows it. */
    @Serializable
    data class MoveView(
        val route: String,
        val move: String,
        val phase: String,
    )
}
