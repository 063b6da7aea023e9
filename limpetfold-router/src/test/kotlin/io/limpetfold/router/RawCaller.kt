package io.limpetfold.router

import io.limpetfold.http.HostPort
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.ByteArrayOutputStream
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket

/** A caller that writes raw HTTP/1.1 on one connection. */
internal class RawCaller(
    address: HostPort,
    receiveBytes: Int? = null,
) : AutoCloseable {
    private val socket = Socket()
    private val input: InputStream

    init {
        receiveBytes?.let { socket.receiveBufferSize = it }
        socket.connect(InetSocketAddress(address.host, address.port))
        socket.soTimeout = READ_TIMEOUT_MILLIS
        input = socket.getInputStream().buffered()
    }

    /** A response with its body decoded; [isComplete] is false when the connection ended before the body did. */
    data class Response(
        val head: String,
        val body: String,
        val isComplete: Boolean,
    ) {
        val status: Int get() = head.substringAfter(' ').take(STATUS_CHARS).toInt()

        /** The generated text of a stream, joined over all its events. */
        val text: String get() = CONTENT.findAll(body).joinToString("") { it.groupValues[1] }

        /** Whether the stream ended with its `[DONE]` event. */
        val isDone: Boolean get() = body.trimEnd().endsWith("data: [DONE]")
    }

    suspend fun call(
        request: String,
        body: String = "",
        workspace: String? = null,
        vararg headers: String,
    ): Response {
        send(request, body, workspace, *headers)
        return readResponse()
    }

    suspend fun send(
        request: String,
        body: String = "",
        workspace: String? = null,
        vararg headers: String,
    ) = withContext(Dispatchers.IO) {
        val key = workspace?.let { "Authorization: Bearer key-$it\r\n" }.orEmpty()
        val length = if (body.isEmpty()) "" else "Content-Length: ${body.encodeToByteArray().size}\r\n"
        val extra = headers.joinToString("") { "$it\r\n" }
        socket.getOutputStream().write(
            "$request HTTP/1.1\r\nHost: router\r\n$key$length$extra\r\n$body".encodeToByteArray(),
        )
    }

    suspend fun chat(
        workspace: String,
        maxTokens: Int,
        id: String? = null,
        isStream: Boolean = true,
    ): Response {
        sendChat(workspace, maxTokens, id, isStream)
        return readResponse()
    }

    suspend fun sendChat(
        workspace: String,
        maxTokens: Int,
        id: String? = null,
        isStream: Boolean = true,
    ) = send(
        "POST /v1/chat/completions",
        chatBody(maxTokens, isStream),
        workspace,
        *listOfNotNull(
            id?.let {
                "X-Request-Id: $it"
            },
        ).toTypedArray(),
    )

    suspend fun readResponse(): Response = withContext(Dispatchers.IO) { readBody(readHead()) }

    /** Reads until [mark] was received and returns the bytes read, including [mark]. */
    suspend fun readUntil(mark: String): String =
        withContext(Dispatchers.IO) {
            val read = StringBuilder()
            while (!read.endsWith(mark)) read.append(readByte().toChar())
            read.toString()
        }

    /**
     * Reads the rest of a chunked response after [readUntil], including its chunk headers; returns `cut: ...` when it
     * is cut off.
     */
    suspend fun readRest(): String =
        withContext(Dispatchers.IO) {
            runCatching { readUntil("\r\n0\r\n\r\n") }.getOrElse { "cut: $it" }
        }

    override fun close() = socket.close()

    private fun readByte(): Int = input.read().also { if (it < 0) error("the connection ended") }

    private fun readLine(): String {
        val line = StringBuilder()
        while (!line.endsWith("\r\n")) line.append(readByte().toChar())
        return line.removeSuffix("\r\n").toString()
    }

    private fun readHead(): String = generateSequence { readLine().takeIf { it.isNotEmpty() } }.joinToString("\n")

    private fun readBody(head: String): Response {
        val length =
            Regex("(?i)content-length: (\\d+)")
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toInt()
        if (length !=
            null
        ) {
            return input.readNBytes(length).let { Response(head, it.decodeToString(), it.size == length) }
        }
        val body = ByteArrayOutputStream()
        val isComplete =
            runCatching {
                while (true) {
                    val size = readLine().toInt(HEX)
                    val chunk = input.readNBytes(size)
                    body.write(chunk)
                    check(chunk.size == size)
                    readLine()
                    if (size == 0) break
                }
            }.isSuccess
        return Response(head, body.toString(Charsets.UTF_8), isComplete)
    }

    companion object {
        private const val READ_TIMEOUT_MILLIS = 30_000
        private const val STATUS_CHARS = 3
        private const val HEX = 16
        private val CONTENT = Regex(""""content":"([^"]*)"""")

        fun chatBody(
            maxTokens: Int,
            isStream: Boolean = true,
        ) =
            """{"model":"jezik","stream":$isStream,"max_tokens":$maxTokens,"messages":[{"role":"user","content":"Draft a plan."}]}"""

        /** The text that the engine stand-in generates for [tokens] tokens. */
        fun expectedText(tokens: Int): String = (1..tokens).joinToString("") { "t$it " }
    }
}
