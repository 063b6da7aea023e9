package io.limpetfold.rollout

/** Which version of a move a request goes to. */
enum class MoveSide {
    OLD,
    NEW,
}
