package io.limpetfold.testing

import io.limpetfold.store.TypedObject
import kotlinx.serialization.KSerializer

/** Encodes [value] and returns what decodes from the result. */
internal fun <T> copyBySerializer(
    serializer: KSerializer<T>,
    value: T,
): T = TypedObject.JSON.decodeFromString(serializer, TypedObject.JSON.encodeToString(serializer, value))
