package io.limpetfold.rollout

/** The user's choice between fast moves and low exposure to the new version. */
enum class MovePreset {
    /** Larger steps, shorter holds and a lower rate of false rollbacks. */
    AVAILABILITY,

    /** Smaller steps, longer holds and a higher rate of false rollbacks. */
    EXPOSURE,
}
