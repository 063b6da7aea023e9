package io.limpetfold.rollout

/** A choice of the user between timely moves and small exposure. */
enum class MovePreset {
    /** Larger steps, shorter holds and a lower rate of false rollbacks. */
    AVAILABILITY,

    /** Smaller steps, longer holds and a higher rate of false rollbacks. */
    EXPOSURE,
}
