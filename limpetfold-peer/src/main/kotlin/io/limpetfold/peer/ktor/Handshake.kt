package io.limpetfold.peer.ktor

import io.limpetfold.core.Incarnation
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.security.MessageDigest
import java.security.SecureRandom

/**
 * The hello between two routers: both name their incarnation and protocol and prove the fleet key.
 *
 * The dialer sends [Hello], the acceptor [HelloReply], the dialer [Proof], the acceptor [Welcome]. Each proof is an HMAC over both nonces,
 * both incarnations and the role of its sender, so that a proof can be neither replayed nor reflected.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class Handshake(
    private val self: Incarnation,
    private val key: FleetKey,
) {
    @Serializable
    class Hello(
        val protocol: Int,
        val incarnation: Incarnation,
        @ByteString val nonce: ByteArray,
    )

    @Serializable
    class HelloReply(
        val hello: Hello,
        @ByteString val proof: ByteArray,
    )

    @Serializable
    class Proof(
        @ByteString val proof: ByteArray,
    )

    @Serializable
    class Welcome(
        val refusal: String? = null,
    )

    /** Runs the dialer's side and returns the acceptor. */
    suspend fun dial(channel: FrameChannel): Incarnation {
        val own = hello()
        send(channel, Frame.CBOR.encodeToByteArray(Hello.serializer(), own))
        val reply = receive(channel, HelloReply.serializer())
        verify(reply.hello, reply.proof, proof(ACCEPTOR, own, reply.hello))
        send(channel, Frame.CBOR.encodeToByteArray(Proof.serializer(), Proof(proof(DIALER, own, reply.hello))))
        receive(channel, Welcome.serializer()).refusal?.let { throw ProtocolException("the peer refused: $it") }
        return reply.hello.incarnation
    }

    /** Runs the acceptor's side up to [Welcome] and returns the dialer. */
    suspend fun accept(channel: FrameChannel): Incarnation {
        val hello = receive(channel, Hello.serializer())
        checkHello(hello)
        val own = hello()
        val reply = HelloReply(own, proof(ACCEPTOR, hello, own))
        send(channel, Frame.CBOR.encodeToByteArray(HelloReply.serializer(), reply))
        verify(hello, receive(channel, Proof.serializer()).proof, proof(DIALER, hello, own))
        return hello.incarnation
    }

    /** Ends the acceptor's side; [refusal] null takes the connection into use. */
    suspend fun welcome(
        channel: FrameChannel,
        refusal: String?,
    ) = send(channel, Frame.CBOR.encodeToByteArray(Welcome.serializer(), Welcome(refusal)))

    private fun hello() = Hello(PROTOCOL, self, ByteArray(NONCE_BYTES).also(RANDOM::nextBytes))

    private fun verify(
        hello: Hello,
        proof: ByteArray,
        expected: ByteArray,
    ) {
        checkHello(hello)
        if (!MessageDigest.isEqual(proof, expected)) throw ProtocolException("the fleet key does not match")
    }

    private fun checkHello(hello: Hello) {
        val fault =
            when {
                hello.protocol != PROTOCOL -> "protocol ${hello.protocol} instead of $PROTOCOL; run the same version everywhere"
                hello.nonce.size != NONCE_BYTES -> "a nonce of ${hello.nonce.size} bytes"
                !NAME.matches(hello.incarnation.instance.value) -> "an instance name with other characters than ${NAME.pattern}"
                hello.incarnation.instance == self.instance ->
                    "the peer has the name of this instance; give each instance a name of its own"
                else -> return
            }
        throw ProtocolException(fault)
    }

    private fun proof(
        role: String,
        dialer: Hello,
        acceptor: Hello,
    ): ByteArray {
        val names = "$role\n${dialer.incarnation.key}\n${acceptor.incarnation.key}\n"
        return key.hmac(names.encodeToByteArray() + dialer.nonce + acceptor.nonce)
    }

    private suspend fun send(
        channel: FrameChannel,
        bytes: ByteArray,
    ) {
        channel.write(bytes)
        channel.flush()
    }

    private suspend fun <T> receive(
        channel: FrameChannel,
        serializer: DeserializationStrategy<T>,
    ): T = Frame.CBOR.decodeFromByteArray(serializer, channel.read(MAX_HELLO_BYTES))

    companion object {
        const val PROTOCOL = 1

        /** Enough for two names, a nonce and a proof; nothing larger is read before the key is proven. */
        const val MAX_HELLO_BYTES = 1024
        private const val NONCE_BYTES = 32

        /** Names appear in proofs and log lines, so they hold no separators or line ends. */
        private val NAME = Regex("[A-Za-z0-9._:-]{1,128}")
        private const val DIALER = "limpetfold-peer-1 dialer"
        private const val ACCEPTOR = "limpetfold-peer-1 acceptor"
        private val RANDOM = SecureRandom()
    }
}
