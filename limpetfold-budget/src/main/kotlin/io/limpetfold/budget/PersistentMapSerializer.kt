package io.limpetfold.budget

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Encodes a persistent map as a JSON object. */
internal class PersistentMapSerializer<K, V>(
    keys: KSerializer<K>,
    values: KSerializer<V>,
) : KSerializer<PersistentMap<K, V>> {
    private val delegate = MapSerializer(keys, values)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(
        encoder: Encoder,
        value: PersistentMap<K, V>,
    ) = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentMap<K, V> = delegate.deserialize(decoder).toPersistentMap()
}
