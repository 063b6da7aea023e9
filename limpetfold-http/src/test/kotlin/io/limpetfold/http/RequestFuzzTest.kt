package io.limpetfold.http

import io.kotest.core.spec.style.FunSpec
import io.limpetfold.testing.fuzz.FuzzCase
import io.limpetfold.testing.fuzz.FuzzFailure
import io.limpetfold.testing.fuzz.FuzzRun
import io.limpetfold.testing.fuzz.expect
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import kotlinx.coroutines.Dispatchers
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Guards against a request that the server reads in another way than a strict reader behind it. */
class RequestFuzzTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(1))

        test("each request is refused as a whole or read as a strict reader reads it") {
            FuzzRun("requests", { HttpGrammar(it, PACKET_BYTES).request() }) { CallerSession(loops).check(it) }.run()
        }
    }) {
    /** A request as the handler got it; [body] is null until it was read to its end. */
    private class Handled(
        val head: RequestHead,
        var body: String? = null,
        var failure: Exception? = null,
    )

    /** One connection of a caller to a real [ServerConnection]. */
    private class CallerSession(
        loops: HttpEventLoops,
    ) {
        private val budget = BufferBudget(streamBytes = STREAM_BYTES)
        private val handled = mutableListOf<Handled>()
        private val server =
            HttpServer(SETTINGS, loops, budget, { exchange ->
                val request = Handled(exchange.head).also(handled::add)
                try {
                    request.body = String(exchange.readBody(MAX_BODY_BYTES), Charsets.ISO_8859_1)
                } catch (e: Exception) {
                    request.failure = e
                    throw e
                }
                exchange.respond(200, body = OK.toByteArray())
            }, Dispatchers.Unconfined)
        private val connection = ServerConnection(server, SETTINGS, { SETTINGS.connectionLimits }, budget)
        private val decoder = RequestDecoder(SETTINGS, budget.pieceBytes, connection::acceptBytes)
        private val channel = EmbeddedChannel(decoder, connection.encoder, connection)
        private val received = ByteArrayOutputStream()
        private val answered = ByteArrayOutputStream()

        fun check(case: FuzzCase) {
            try {
                case.forEach(::send)
                val isOwnEnd = received.size() > 0 && isAwaitingRequest()
                if (isOwnEnd) {
                    send(NEXT.toByteArray())
                } else {
                    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
                }
                drain()
                checkHandled(isOwnEnd)
                checkAnswers()
            } finally {
                channel.finishAndReleaseAll()
                server.close()
            }
            expect(budget.usedBytes == 0L, "bytes kept") { "${budget.usedBytes}" }
            expect(budget.peakBufferBytes <= STREAM_BYTES / 2, "buffer bound") { "${budget.peakBufferBytes}" }
        }

        private fun send(packet: ByteArray) {
            channel.runPendingTasks()
            if (!channel.isActive || !channel.config().isAutoRead) return
            received.write(packet)
            channel.writeInbound(Unpooled.copiedBuffer(packet))
            drain()
        }

        private fun drain() {
            channel.runPendingTasks()
            while (true) {
                val sent = channel.readOutbound<ByteBuf>() ?: return
                sent.readBytes(answered, sent.readableBytes())
                sent.release()
            }
        }

        /** Whether a strict reader sees whole requests only, and the server announced that it keeps the connection. */
        private fun isAwaitingRequest(): Boolean {
            val readings = StrictReader(received.toString(Charsets.ISO_8859_1)).requests()
            val isClosing = answers().contains("connection: close", ignoreCase = true)
            return channel.isActive && !isClosing && readings.all { it is StrictReader.Message }
        }

        private fun checkHandled(isNextSent: Boolean) {
            val readings = StrictReader(received.toString(Charsets.ISO_8859_1)).requests()
            for ((index, request) in handled.withIndex()) checkOne(request, readings.getOrNull(index))
            if (isNextSent) {
                expect(handled.lastOrNull()?.head?.target == "/next", "next request") { "not served: ${answers()}" }
            }
            val first = readings.firstOrNull()
            if (first is StrictReader.Message && isPlain(first)) {
                expect(handled.firstOrNull()?.body != null, "refused") { "a plain request $first: ${answers()}" }
            }
        }

        private fun checkOne(
            request: Handled,
            reading: StrictReader.Reading?,
        ) {
            val read = reading?.head
            val detail = { "handled ${request.head} ${request.body} ${request.failure}, strictly $reading" }
            if (read == null) throw FuzzFailure("head", detail())
            expect(describe(request) == describe(read), "request", detail)
            expect(request.failure != null || reading is StrictReader.Message, "framing", detail)
            expect(request.body == null || request.body == read.body, "body", detail)
            expect(
                request.failure.let { it == null || it is RequestBodyException || it is IOException },
                "error",
                detail,
            )
            expect(!REFUSES_AMBIGUOUS || strictFault(read) == null, "decision") { "${strictFault(read)}: $read" }
        }

        /** Each request has one answer at most, none is an error of the server, and bytes are never left without one. */
        private fun checkAnswers() {
            val statuses =
                STATUS
                    .findAll(answers())
                    .map { it.groupValues[1].toInt() }
                    .filter { it != 100 }
                    .toList()
            val read = handled.count { it.body != null }
            expect(statuses.count { it == 200 } == read, "answers") { "$statuses to $read" }
            expect(statuses.all { it == 200 || it in REFUSALS }, "status") { "$statuses" }
            expect(statuses.dropLast(1).all { it == 200 }, "after a refusal") { "$statuses" }
            val isCut = handled.lastOrNull()?.failure is CallerDisconnectedException
            val isBlank = received.toString(Charsets.ISO_8859_1).isBlank()
            expect(statuses.isNotEmpty() || isCut || isBlank, "closed without an answer") { "handled ${handled.size}" }
        }

        private fun answers() = answered.toString(Charsets.ISO_8859_1)

        private fun describe(request: Handled) =
            listOf(request.head.method, request.head.target) + request.head.headers.entries

        /** The absolute form is served like the plain one, with its host in place of the field. */
        private fun describe(read: StrictReader.Message): List<Any> {
            val (method, target) = read.startLine
            val absolute = ABSOLUTE.matchEntire(target) ?: return listOf(method, target) + read.fields
            val (host, path) = absolute.destructured
            val (hosts, others) = read.fields.partition { it.first.equals("Host", ignoreCase = true) }
            val fields =
                if (hosts.isEmpty()) {
                    others + ("Host" to host)
                } else {
                    read.fields.map { if (it in hosts) it.first to host else it }
                }
            return listOf(method, path.ifEmpty { "/" }) + fields
        }

        private fun isPlain(read: StrictReader.Message): Boolean {
            val names = read.fields.map { it.first.lowercase() }
            return read.startLine[0] in PLAIN_METHODS &&
                read.startLine[1].matches(PLAIN_TARGET) &&
                "host" in names &&
                read.all("Host").all { it.matches(PLAIN_HOST) } &&
                names.distinct().size == names.size &&
                read.all("Expect").all { it.equals("100-continue", ignoreCase = true) } &&
                read.body.length <= MAX_BODY_BYTES &&
                read.end <= MAX_PLAIN_BYTES &&
                ';' !in received.toString(Charsets.ISO_8859_1)
        }

        /** What another reader could take in another way: the path, or a field that stands once. */
        private fun strictFault(read: StrictReader.Message): String? {
            val path = read.startLine[1].substringBefore('?').lowercase()
            val segments = path.replace("%2e", ".").split('/')
            return when {
                segments.any { it == "." || it == ".." } -> "dot segment"
                AMBIGUOUS.any { it in path } || ENCODED_CONTROL.containsMatchIn(path) -> "ambiguous path"
                read.startLine[0] == "TRACE" -> "TRACE"
                else -> null
            }
        }
    }

    private companion object {
        /** Whether the server refuses paths that readers take in different ways, and TRACE. */
        const val REFUSES_AMBIGUOUS = true
        val PLAIN_HOST = Regex("[A-Za-z0-9.:-]+")
        const val STREAM_BYTES = 32 * 1024
        const val PACKET_BYTES = 8 * 1024
        const val MAX_BODY_BYTES = 64 * 1024
        const val MAX_PLAIN_BYTES = 8 * 1024
        const val OK = "ok"
        const val NEXT = "GET /next HTTP/1.1\r\nHost: next.example\r\nX-Next: 1\r\n\r\n"
        val SETTINGS = HttpServerSettings(maxBodyBytes = MAX_BODY_BYTES.toLong(), maxHeaderCount = 40)
        val STATUS = Regex("HTTP/1\\.1 ([0-9]{3}) ")
        val REFUSALS = setOf(400, 405, 413, 414, 417, 431, 501, 505)
        val ABSOLUTE = Regex("https?://([^/?]+)(.*)", RegexOption.IGNORE_CASE)
        val PLAIN_METHODS = setOf("GET", "POST", "PUT", "HEAD", "DELETE", "OPTIONS", "PATCH")
        val PLAIN_TARGET = Regex("/[a-z]+(/[a-z]+)*(\\?[a-z=]*)?")
        val AMBIGUOUS = listOf("%2f", "%5c", "\\")
        val ENCODED_CONTROL = Regex("%(?:[01][0-9a-f]|7f)")
    }
}
