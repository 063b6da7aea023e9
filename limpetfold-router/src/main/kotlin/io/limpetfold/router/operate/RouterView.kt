package io.limpetfold.router.operate

import kotlinx.serialization.Serializable

/** The state of a router as its operators' port shows it. */
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
    val moves: List<MoveLine>,
    val bufferedBytes: Long,
) {
    /** Another router as this one hears it. */
    @Serializable
    data class MemberView(
        val instance: String,
        val incarnation: Long,
        val zone: String,
        val generation: Long,
        val isDraining: Boolean,
    )

    /** An endpoint as this router uses it; slots are requests at the same time. */
    @Serializable
    data class EndpointView(
        val endpoint: String,
        val isInRotation: Boolean,
        val baseSlots: Int,
        val borrowedSlots: Int,
        val lentSlots: Int,
        val inFlight: Int,
    )

    /** This router's account of one workspace. */
    @Serializable
    data class BudgetView(
        val workspace: String,
        val grantedTokens: Long,
        val spentTokens: Long,
        val reservedTokens: Long,
    )

    /** A move as this router knows it. */
    @Serializable
    data class MoveLine(
        val route: String,
        val move: String,
        val phase: String,
    )
}
