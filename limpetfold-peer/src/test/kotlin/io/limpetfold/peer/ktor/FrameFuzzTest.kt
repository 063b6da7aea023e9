package io.limpetfold.peer.ktor

import io.kotest.core.spec.style.FunSpec
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerTopic
import io.limpetfold.testing.fuzz.ByteMutator
import io.limpetfold.testing.fuzz.FuzzRun
import io.limpetfold.testing.fuzz.ValueTrees
import io.limpetfold.testing.fuzz.expect
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.SerialDescriptor
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.io.IOException
import kotlin.random.Random

/** Guards against bytes of a peer that end in anything but a frame, a rejection or a typed error. */
@OptIn(ExperimentalSerializationApi::class)
class FrameFuzzTest :
    FunSpec({
        val mutator = ByteMutator("\u00ff \u00bf \u009f z\u007f\u00ff\u00ff\u00ff [ \u00d9 \u00f6 \u001b".split(' '))

        fun frames(
            descriptors: List<SerialDescriptor>,
            random: Random,
        ): List<ByteArray> {
            val bytes = ByteArrayOutputStream()
            descriptors.forEach {
                val frame = ValueTrees.cbor(ValueTrees(random).tree(it))
                val payload = if (random.nextInt(3) == 0) mutator.mutate(frame, random) else frame
                DataOutputStream(bytes).writeInt(if (random.nextInt(50) == 0) random.nextInt() else payload.size)
                bytes.write(payload)
            }
            return listOf(bytes.toByteArray())
        }

        fun channel(case: List<ByteArray>) =
            FrameChannel(ByteReadChannel(case.fold(ByteArray(0), ByteArray::plus)), ByteChannel(autoFlush = true))

        test("each frame is handled, rejected or a typed error") {
            val handlers = TopicHandlers(MAX_FRAME_BYTES)
            val message = Handshake.Hello.serializer()
            handlers.add(PeerTopic("a", message, message)) { _, hello -> hello }
            FuzzRun("frames", { frames(List(3) { Frame.serializer().descriptor }, it) }) { case ->
                runBlocking {
                    val channel = channel(case)
                    try {
                        while (true) {
                            val frame = Frame.decode(channel.read(MAX_FRAME_BYTES))
                            if (frame is Frame.Ask) {
                                val reply = handlers.handle(PEER, frame)
                                expect(reply is Frame.Reply || reply is Frame.Rejection, "reply") { "$reply" }
                            }
                        }
                    } catch (_: IOException) {
                        Unit
                    } catch (_: SerializationException) {
                        Unit
                    }
                }
            }.run()
        }

        test("each handshake without the fleet key fails with a typed error") {
            val handshake = Handshake(PEER, FleetKey("0123456789abcdef0123456789abcdef"))
            val steps = listOf(Handshake.Hello.serializer().descriptor, Handshake.Proof.serializer().descriptor)
            FuzzRun("handshakes", { frames(steps, it) }) { case ->
                runBlocking {
                    val peer =
                        try {
                            handshake.accept(channel(case))
                        } catch (_: IOException) {
                            null
                        } catch (_: SerializationException) {
                            null
                        }
                    expect(peer == null, "accepted") { "$peer" }
                }
            }.run()
        }
    }) {
    private companion object {
        const val MAX_FRAME_BYTES = 64 * 1024
        val PEER = Incarnation(InstanceId("p"), 1)
    }
}
