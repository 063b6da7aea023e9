package io.limpetfold.store

/** What a pure change decided about the current value of an object. */
sealed interface Change<out T, out E> {
    /** Write [value]. */
    data class Write<T>(
        val value: T,
    ) : Change<T, Nothing>

    /** The object is already as wanted; write nothing. */
    data object Keep : Change<Nothing, Nothing>

    /** The change is not allowed for [reason]; write nothing. */
    data class Refuse<E>(
        val reason: E,
    ) : Change<Nothing, E>
}
