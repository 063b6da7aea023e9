package io.limpetfold.peer.ktor

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerTopic
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import java.io.ByteArrayOutputStream
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.net.SocketException
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class KtorPeerNetworkTest :
    FunSpec({
        val opened = mutableListOf<KtorPeerNetwork>()

        suspend fun router(
            name: String,
            number: Long = 1,
            key: String = KEY,
            port: Int = 0,
            policy: PeerPolicy = PeerPolicy(),
        ): Router {
            val self = Incarnation(InstanceId(name), number)
            val network = KtorPeerNetwork(self, FleetKey(key), policy, Random(1))
            network.registerHandler(ECHO) { from, message -> Text("$from:${message.text}:$self") }
            network.registerHandler(SLOW) { _, _ -> awaitCancellation() }
            opened += network
            return Router(network, PeerAddress(self.instance, "127.0.0.1", network.start("127.0.0.1", port)))
        }

        suspend fun Router.awaitConnected(vararg names: String) =
            eventually(10.seconds) { network.connectedPeers().map { it.value }.toSet() shouldBe names.toSet() }

        suspend fun Router.echo(to: String) = network.ask(InstanceId(to), ECHO, Text("x"), TIMEOUT)

        afterEach {
            opened.forEach { it.close() }
            opened.clear()
        }

        test("guards against replies that reach the wrong ask, in both directions") {
            val a = router("a")
            val b = router("b")
            a.network.setPeers(listOf(b.address))
            a.awaitConnected("b")
            b.awaitConnected("a")

            val replies =
                (1..200)
                    .map {
                        async {
                            a.network
                                .ask(
                                    InstanceId("b"),
                                    ECHO,
                                    Text("$it"),
                                    TIMEOUT,
                                ).get()
                                ?.text
                        }
                    }.awaitAll()

            replies shouldBe (1..200).map { "a@1:$it:b@1" }
            b.echo("a").get()?.text shouldBe "b@1:x:a@1"
        }

        test("guards against two connections of a pair, dialled at the same time, that close each other") {
            val a = router("a")
            val b = router("b")
            a.network.setPeers(listOf(b.address))
            b.network.setPeers(listOf(a.address))
            a.awaitConnected("b")
            b.awaitConnected("a")

            repeat(50) {
                a.echo("b").get()?.text shouldBe "a@1:x:b@1"
                b.echo("a").get()?.text shouldBe "b@1:x:a@1"
            }
        }

        test("guards against accepting a router with another fleet key") {
            val a = router("a")
            val b = router("b", key = KEY.reversed())
            val c = router("c")
            listOf(b, c).forEach { it.network.setPeers(listOf(a.address)) }

            a.awaitConnected("c")
            b.network.connectedPeers() shouldBe emptySet()
            b.echo("a").getError() shouldBe PeerError.Unreachable(InstanceId("a"))
        }

        test("guards against a restarted peer that stays unreachable or replies as its previous incarnation") {
            val a = router("a")
            val old = router("b", number = 1)
            a.network.setPeers(listOf(old.address))
            a.awaitConnected("b")
            old.network.close()
            a.awaitConnected()

            router("b", number = 2, port = old.address.port)

            a.awaitConnected("b")
            a.echo("b").get()?.text shouldBe "a@1:x:b@2"
        }

        test("guards against an old incarnation that keeps the connection of a newer one or reconnects after it") {
            val a = router("a")
            val old = router("b", number = 1)
            val new = router("b", number = 2)
            old.network.setPeers(listOf(a.address))
            a.awaitConnected("b")
            new.network.setPeers(listOf(a.address))

            eventually(10.seconds) { a.echo("b").get()?.text shouldBe "a@1:x:b@2" }
            new.network.close()
            a.awaitConnected()
            eventually(10.seconds) { old.network.connectedPeers() shouldBe emptySet() }
        }

        test(
            "guards against an ask without a reply that is reported as not sent, and against a missing handler or an oversized message that is not rejected",
        ) {
            val a = router("a")
            val b = router("b")
            a.network.setPeers(listOf(b.address))
            a.awaitConnected("b")

            val slow = a.network.ask(InstanceId("b"), SLOW, Text("x"), Duration.ofMillis(50)).getError()
            slow.shouldBeInstanceOf<PeerError.Timeout>()
            a.network
                .ask(
                    InstanceId("b"),
                    UNKNOWN,
                    Text("x"),
                    TIMEOUT,
                ).getError()
                .shouldBeInstanceOf<PeerError.Rejected>()
            val huge = a.network.ask(InstanceId("b"), ECHO, Text("x".repeat(1_100_000)), TIMEOUT).getError()
            huge.shouldBeInstanceOf<PeerError.Rejected>()
            val large = "y".repeat(1_000_000)
            a.network
                .ask(InstanceId("b"), ECHO, Text(large), TIMEOUT)
                .get()
                ?.text shouldBe "a@1:$large:b@1"
        }

        test("guards against exceeding the maximum number of asks in flight or of connections") {
            val policy = PeerPolicy(maxInFlight = 2, maxConnections = 1)
            val a = router("a")
            val b = router("b", policy = policy)
            a.network.setPeers(listOf(b.address))
            a.awaitConnected("b")

            val rejected = AtomicInteger()
            val asks =
                List(5) {
                    launch {
                        val error = a.network.ask(InstanceId("b"), SLOW, Text("x"), TIMEOUT.multipliedBy(6)).getError()
                        error.shouldBeInstanceOf<PeerError.Rejected>()
                        rejected.incrementAndGet()
                    }
                }
            eventually(10.seconds) { rejected.get() shouldBe 3 }
            asks.forEach { it.cancel() }

            val c = router("c")
            c.network.setPeers(listOf(b.address))
            c.echo("b").getError() shouldBe PeerError.Unreachable(InstanceId("b"))
            b.network.connectedPeers() shouldBe setOf(InstanceId("a"))
        }

        test(
            "guards against sockets that send nothing and use up the handshakes, and against an unresponsive peer that stays connected",
        ) {
            val short = Duration.ofSeconds(2)
            val policy =
                PeerPolicy(
                    maxHandshakes = 2,
                    handshakeTimeout = short,
                    idleTimeout = short,
                    pingInterval = Duration.ofMillis(500),
                )
            val b = router("b", policy = policy)
            val sockets = List(2) { Socket("127.0.0.1", b.address.port) }
            val a = router("a", policy = policy)
            a.network.setPeers(listOf(b.address))
            b.awaitConnected("a")
            Socket("127.0.0.1", b.address.port).use { socket ->
                HostilePeer(Incarnation(InstanceId("hostile"), 1), socket).handshake()
                b.awaitConnected("a")
            }
            sockets.forEach { it.close() }
        }

        test("guards against memory use that grows with the asks to a peer that reads nothing") {
            val b = router("b", policy = LONG_TIMEOUTS)
            Socket("127.0.0.1", b.address.port).use { socket ->
                HostilePeer(Incarnation(InstanceId("hostile"), 1), socket).handshake()
                eventually(10.seconds) { (InstanceId("hostile") in b.network.connectedPeers()) shouldBe true }
                val large = Text("x".repeat(900_000))

                val errors =
                    (1..60)
                        .map {
                            async {
                                b.network
                                    .ask(
                                        InstanceId("hostile"),
                                        ECHO,
                                        large,
                                        Duration.ofSeconds(1),
                                    ).getError()
                            }
                        }.awaitAll()

                errors.count { it is PeerError.Unreachable } shouldBeGreaterThan 30
                errors.count { it == null } shouldBe 0
            }
        }

        test(
            "guards against hostile bytes before the handshake that get a response or close more than their own connection",
        ) {
            val a = router("a")
            val b = router("b", policy = LONG_TIMEOUTS)
            a.network.setPeers(listOf(b.address))
            a.awaitConnected("b")
            for (bytes in HOSTILE + TRUNCATED) {
                Socket("127.0.0.1", b.address.port).use { socket ->
                    socket.soTimeout = 8_000
                    ignoringReset { socket.getOutputStream().write(bytes) }
                    if (bytes in TRUNCATED) socket.shutdownOutput()
                    val received = ByteArrayOutputStream()
                    ignoringReset { socket.getInputStream().transferTo(received) }
                    received.size() shouldBe 0
                }
            }

            a.echo("b").get()?.text shouldBe "a@1:x:b@1"
        }

        test(
            "guards against hostile frames of an authenticated peer that stay undetected or close more than their own connection",
        ) {
            val b = router("b", policy = LONG_TIMEOUTS)
            val a = router("a")
            a.network.setPeers(listOf(b.address))
            a.awaitConnected("b")
            for ((index, bytes) in (HOSTILE + TRUNCATED).withIndex()) {
                Socket("127.0.0.1", b.address.port).use { socket ->
                    socket.soTimeout = 8_000
                    val hostile = HostilePeer(Incarnation(InstanceId("hostile"), index.toLong()), socket)
                    hostile.handshake()
                    eventually(10.seconds) { (InstanceId("hostile") in b.network.connectedPeers()) shouldBe true }
                    socket.getOutputStream().write(bytes)
                    if (bytes in TRUNCATED) socket.shutdownOutput()
                    eventually(10.seconds) { (InstanceId("hostile") in b.network.connectedPeers()) shouldBe false }
                }
            }

            a.echo("b") shouldBe Ok(Text("a@1:x:b@1"))
        }
    }) {
    @Serializable
    data class Text(
        val text: String,
    )

    private class Router(
        val network: KtorPeerNetwork,
        val address: PeerAddress,
    )

    /** Performs the handshake with the right key over a blocking socket, and nothing else. */
    private class HostilePeer(
        private val self: Incarnation,
        socket: Socket,
    ) {
        private val input = DataInputStream(socket.getInputStream())
        private val output = DataOutputStream(socket.getOutputStream())

        fun handshake() {
            val cbor = Frame.CBOR
            val hello = Handshake.Hello(Handshake.PROTOCOL, self, ByteArray(32))
            write(cbor.encodeToByteArray(Handshake.Hello.serializer(), hello))
            val reply = cbor.decodeFromByteArray(Handshake.HelloReply.serializer(), read()).hello
            val names = "limpetfold-peer-1 dialer\n${self.key}\n${reply.incarnation.key}\n"
            val proof = FleetKey(KEY).hmac(names.encodeToByteArray() + hello.nonce + reply.nonce)
            write(cbor.encodeToByteArray(Handshake.Proof.serializer(), Handshake.Proof(proof)))
            cbor.decodeFromByteArray(Handshake.Welcome.serializer(), read()).refusal shouldBe null
        }

        private fun write(bytes: ByteArray) {
            output.writeInt(bytes.size)
            output.write(bytes)
        }

        private fun read() = ByteArray(input.readInt()).also(input::readFully)
    }

    private companion object {
        /**
         * Runs [block] and ignores a reset, which a close by the peer with unread or unsent bytes causes.
         *
         * A timeout fails the test.
         */
        fun ignoringReset(block: () -> Unit) {
            try {
                block()
            } catch (e: SocketException) {
                check("reset" in e.message.orEmpty() || "Broken pipe" in e.message.orEmpty()) { e }
            }
        }

        const val KEY = "test-key-of-the-fleet-0123456789abcdef"
        val TIMEOUT: Duration = Duration.ofSeconds(10)
        val ECHO = PeerTopic("test.echo", Text.serializer(), Text.serializer())
        val SLOW = PeerTopic("test.slow", Text.serializer(), Text.serializer())
        val UNKNOWN = PeerTopic("test.unknown", Text.serializer(), Text.serializer())

        private fun frame(vararg bytes: Int) =
            byteArrayOf(0, 0, 0, bytes.size.toByte()) + bytes.map { it.toByte() }.toByteArray()

        val TRUNCATED = listOf(byteArrayOf(0, 0), byteArrayOf(0, 0, 0, 100, 1, 2, 3))

        /** Long timeouts, so that only the detection of hostile bytes closes a connection in time. */
        val LONG_TIMEOUTS = PeerPolicy(handshakeTimeout = Duration.ofMinutes(5), idleTimeout = Duration.ofMinutes(5))

        /** Lengths out of bounds, wrong types, claimed sizes of 2 GB and deep nesting. */
        val HOSTILE =
            listOf(
                byteArrayOf(-1, -1, -1, -1),
                byteArrayOf(0x7f, -1, -1, -1),
                byteArrayOf(0, 0, 0, 0),
                "GET / HTTP/1.1\r\n\r\n".encodeToByteArray(),
                frame(0xff),
                frame(0x9a, 0x7f, 0xff, 0xff, 0xff),
                frame(0x5b, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff),
                frame(0x7a, 0x7f, 0xff, 0xff, 0xff),
                frame(0xba, 0x7f, 0xff, 0xff, 0xff),
                frame(0x82, 0x61, 'q'.code, 0xba, 0x7f, 0xff, 0xff, 0xff),
                frame(*IntArray(100) { 0x9f }),
                frame(0x82, 0x61, 'q'.code, 0xbf, 0x61, 'z'.code, *IntArray(90) { 0x81 }),
                // One map with an unknown key whose value is nested 900,000 deep and never ends.
                byteArrayOf(0, 0x0d, 0xbb.toByte(), 0xa6.toByte(), 0x82.toByte(), 0x61, 'q'.code.toByte()) +
                    byteArrayOf(0xbf.toByte(), 0x61, 'z'.code.toByte()) + ByteArray(900_000) { 0x81.toByte() },
            )
    }
}
