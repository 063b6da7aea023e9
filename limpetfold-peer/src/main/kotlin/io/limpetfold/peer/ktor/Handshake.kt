package io.limpetfold.peer.ktor

import io.limpetfold.core.Incarnation
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.security.MessageDigest
import java.security.SecureRandom

/**
 * Authenticates two routers to each other: both state their incarnation and protocol version and prove that they know
 * the fleet key.
 *
 * The messages are [Hello] (dialer), [HelloReply] (acceptor), [Proof] (dialer) and [Welcome] (acceptor). Each proof is
 * an HMAC over both nonces, both incarnations and the role of its sender, so a proof can be neither replayed nor
 * reflected.
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

    /** Runs the handshake as the dialer and returns the acceptor's incarnation. */
    suspend fun dial(channel: FrameChannel): Incarnation {
        val own = hello()
        send(channel, Frame.CBOR.encodeToByteArray(Hello.serializer(), own))
        val reply = receive(channel, HelloReply.serializer())
        verify(reply.hello, reply.proof, proof(ACCEPTOR, own, reply.hello))
        send(channel, Frame.CBOR.encodeToByteArray(Proof.serializer(), Proof(proof(DIALER, own, reply.hello))))
        receive(channel, Welcome.serializer()).refusal?.let { throw ProtocolException("the peer refused: $it") }
        return reply.hello.incarnation
    }

    /**
     * Runs the handshake as the acceptor, up to [Welcome], and returns the dialer's incarnation; [welcome] must follow.
     */
    suspend fun accept(channel: FrameChannel): Incarnation {
        val hello = receive(channel, Hello.serializer())
        checkHello(hello)
        val own = hello()
        val reply = HelloReply(own, proof(ACCEPTOR, hello, own))
        send(channel, Frame.CBOR.encodeToByteArray(HelloReply.serializer(), reply))
        verify(hello, receive(channel, Proof.serializer()).proof, proof(DIALER, hello, own))
        return hello.incarnation
    }

    /** Ends the handshake as the acceptor: accepts the connection if [refusal] is null, otherwise states why not. */
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
        if (!MessageDigest.isEqual(
                proof,
                expected,
            )
        ) {
            throw ProtocolException(
                "the fleet key of the peer does not match; configure the same key on all instances",
            )
        }
    }

    private fun checkHello(hello: Hello) {
        val problem =
            when {
                hello.protocol != PROTOCOL ->
                    "the peer has protocol version ${hello.protocol} instead of $PROTOCOL; run the same version on all instances"
                hello.nonce.size != NONCE_BYTES ->
                    "the peer sent a nonce with the wrong size of ${hello.nonce.size} bytes"
                !NAME.matches(
                    hello.incarnation.instance.value,
                ) -> "the instance name of the peer does not match ${NAME.pattern}"
                hello.incarnation.instance == self.instance ->
                    "the peer has the name of this instance; give each instance a unique name"
                else -> return
            }
        throw ProtocolException(problem)
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
    ): T = Frame.decode(serializer, channel.read(MAX_MESSAGE_BYTES))

    companion object {
        const val PROTOCOL = 1

        /**
         * Enough for any handshake message, whose largest parts are a name, a nonce and a proof; larger frames are
         * refused before the key is proven.
         */
        const val MAX_MESSAGE_BYTES = 1024
        private const val NONCE_BYTES = 32

        /** Names appear in proofs and log lines, so they must not contain separators or line ends. */
        private val NAME = Regex("[A-Za-z0-9._:-]{1,128}")
        private const val DIALER = "limpetfold-peer-1 dialer"
        private const val ACCEPTOR = "limpetfold-peer-1 acceptor"
        private val RANDOM = SecureRandom()
    }
}
