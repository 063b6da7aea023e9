package io.limpetfold.testing

import io.limpetfold.store.ObjectKey

/** A call to a [FakeObjectStore], by which a test chooses the fault of the call. */
sealed interface StoreCall {
    data class Get(
        val key: ObjectKey,
    ) : StoreCall

    data class Put(
        val key: ObjectKey,
    ) : StoreCall

    data class List(
        val prefix: String,
    ) : StoreCall

    data class Watch(
        val prefix: String,
    ) : StoreCall
}
