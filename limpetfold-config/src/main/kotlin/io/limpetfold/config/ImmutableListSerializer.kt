package io.limpetfold.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serialises immutable lists in the same form as [List]. */
@OptIn(ExperimentalSerializationApi::class)
class ImmutableListSerializer<T>(
    element: KSerializer<T>,
) : KSerializer<ImmutableList<T>> {
    private val list = ListSerializer(element)

    override val descriptor: SerialDescriptor = SerialDescriptor("io.limpetfold.config.ImmutableList", list.descriptor)

    override fun serialize(
        encoder: Encoder,
        value: ImmutableList<T>,
    ) = list.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): ImmutableList<T> = list.deserialize(decoder).toImmutableList()
}
