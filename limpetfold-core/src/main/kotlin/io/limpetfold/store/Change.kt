package io.limpetfold.store

/** The result of the change function of [TypedObject.update]. */
sealed interface Change<out T, out E> {
    /** Write [value]. */
    data class Write<T>(
        val value: T,
    ) : Change<T, Nothing>

    /** Write nothing, because the object already has the wanted value. */
    data object Keep : Change<Nothing, Nothing>

    /** Write nothing, because the change is not allowed for [reason]. */
    data class Refuse<E>(
        val reason: E,
    ) : Change<Nothing, E>
}
