package io.limpetfold.rollout.timed

/** The stored status of an ordered move. */
enum class MoveStatus(
    val isFinal: Boolean,
) {
    /** Calls are moved step by step. */
    ACTIVE(false),

    /** All calls go to the new version; the endpoints of the old one may stop. */
    COMPLETED(true),

    /** All calls go to the old version; the endpoints of the new one may stop. */
    TAKEN_BACK(true),
}
