package io.limpetfold.testing

import io.limpetfold.store.TypedObject
import kotlinx.serialization.KSerializer

/** Returns [value] after encoding and decoding it. */
internal fun <T> copy(
    serializer: KSerializer<T>,
    value: T,
): T = TypedObject.JSON.decodeFromString(serializer, TypedObject.JSON.encodeToString(serializer, value))
