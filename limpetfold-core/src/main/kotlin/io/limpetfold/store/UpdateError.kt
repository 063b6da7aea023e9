package io.limpetfold.store

/** Why [TypedObject.update] ended without the wanted change. */
sealed interface UpdateError<out E> {
    /** The change itself refused. */
    data class Refused<E>(
        val reason: E,
    ) : UpdateError<E>

    /** The store failed; see [error] for whether the write may have taken effect. */
    data class Failed(
        val error: StoreError,
    ) : UpdateError<Nothing>
}
