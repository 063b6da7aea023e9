package io.limpetfold.store

/** Why [TypedObject.update] ended without the wanted change. */
sealed interface UpdateError<out E> {
    /** The change function returned [Change.Refuse]. */
    data class Refused<E>(
        val reason: E,
    ) : UpdateError<E>

    /** The store failed; the write may have taken effect only if [error] is [StoreError.OutcomeUnknown]. */
    data class Failed(
        val error: StoreError,
    ) : UpdateError<Nothing>
}
