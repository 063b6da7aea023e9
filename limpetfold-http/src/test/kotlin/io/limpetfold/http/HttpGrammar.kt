package io.limpetfold.http

import io.limpetfold.testing.fuzz.ByteMutator
import io.limpetfold.testing.fuzz.FuzzCase
import io.limpetfold.testing.fuzz.FuzzText
import java.io.File
import kotlin.random.Random

/** Generates requests and responses, most of them with a few faults, cut into packets. */
internal class HttpGrammar(
    private val random: Random,
    private val maxPacketBytes: Int,
) {
    fun request(): FuzzCase {
        val version = if (chance(15)) "HTTP/1.0" else "HTTP/1.1"
        val host = if (chance(20)) emptyList() else listOf("Host: app.example")
        return message("${METHODS.random(random)} ${TARGETS.random(random)} $version", host, REQUEST_FIELDS)
    }

    /** A response to a request with the id `r1`; its first packet names the method of the request. */
    fun response(): FuzzCase {
        val interim = if (chance(6)) "HTTP/1.1 ${listOf(100, 102, 103).random(random)} Interim\r\n\r\n" else ""
        val status = listOf(200, 200, 200, 200, 404, 503, 204, 304, 205).random(random)
        val answer = message("${interim}HTTP/1.1 $status Reason", emptyList(), RESPONSE_FIELDS)
        return listOf((if (chance(6)) "HEAD" else "GET").toByteArray()) + answer
    }

    private fun message(
        startLine: String,
        required: List<String>,
        known: List<String>,
    ): FuzzCase {
        val fields = (required + List(random.nextInt(5)) { known.random(random) }).toMutableList()
        val data = if (chance(40)) BODY.repeat(1_700) else BODY.take(random.nextInt(BODY.length))
        val body =
            when (random.nextInt(3)) {
                0 -> chunked(data).also { fields += "Transfer-Encoding: chunked" }
                1 -> data.also { fields += "Content-Length: ${data.length}" }
                else -> ""
            }
        if (chance(3)) fields.add(random.nextInt(fields.size + 1), HOSTILE_LINES.random(random))
        val lines = listOf(startLine) + fields.shuffled(random)
        val text = lines.joinToString("") { spoil(it) + "\r\n" } + "\r\n" + body
        val surplus = if (chance(10)) listOf(text, "GET /b HTTP/1.1\r\nHost: b\r\n\r\n").random(random) else ""
        val bytes = (text + surplus).toByteArray(Charsets.ISO_8859_1)
        return MUTATOR.split(if (chance(2)) MUTATOR.mutate(bytes, random) else bytes, random, maxPacketBytes)
    }

    /** Puts a token of the syntax beside a separator of [line], where parsers differ most. */
    private fun spoil(line: String): String {
        if (!chance(30)) return line
        val places = line.indices.filter { line[it] in ": /." } + line.length
        val at = places.random(random).let { if (chance(2)) minOf(it + 1, line.length) else it }
        return line.substring(0, at) + TOKENS.random(random) + line.substring(at)
    }

    private fun chunked(data: String): String {
        val parts =
            data.chunked(1 + random.nextInt(data.length + 1)).take(50).map {
                "${spoil(
                    it.length.toString(16) + extension(),
                )}\r\n$it\r\n"
            }
        val trailer = if (chance(5)) spoil("X-T: a") + "\r\n" else ""
        return parts.joinToString("") + spoil("0" + extension()) + "\r\n" + trailer + "\r\n"
    }

    private fun extension() = if (chance(8)) listOf(";a", ";a=b", "; a=\"b\"").random(random) else ""

    private fun chance(one: Int) = random.nextInt(one) == 0

    companion object {
        private const val BODY = "0123456789abcdef\r\nGET /c HTTP/1.1\r\n"

        /** What requests and responses are made of: in each line a name, then its alternatives. */
        private val PARTS =
            File("src/test/resources/fuzz-grammar/http.txt").readLines().associate { line ->
                line.substringBefore(": ") to line.substringAfter(": ").split('|').map(FuzzText::unescape)
            }

        private fun parts(name: String): List<String> = PARTS.getValue(name).map { String(it, Charsets.ISO_8859_1) }

        private val METHODS = parts("methods")
        private val TARGETS = parts("targets")
        private val REQUEST_FIELDS = parts("request-fields")
        private val RESPONSE_FIELDS = parts("response-fields")
        private val HOSTILE_LINES = parts("hostile")
        private val TOKENS = parts("tokens")
        private val MUTATOR = ByteMutator(TOKENS + HOSTILE_LINES.map { "\r\n$it\r\n" })
    }
}
