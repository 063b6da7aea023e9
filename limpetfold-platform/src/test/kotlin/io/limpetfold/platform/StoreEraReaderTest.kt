package io.limpetfold.platform

import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.http.ResponseHead
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectVersion
import java.time.Duration
import kotlin.random.Random

class StoreEraReaderTest :
    FunSpec({
        fun StoreEraReader.read(text: String?) =
            eraOf(
                PlatformClient.Response(
                    ResponseHead(200, text?.let { Headers.of(HEADER to it) } ?: Headers.EMPTY),
                    "",
                ),
            )

        test("guards against a response without a valid era that counts for any era, or ends the router") {
            val reader = StoreEraReader(HEADER) {}
            reader.read(null) shouldBe 0
            INVALID.forEach { reader.read(it) shouldBe null }
            reader.read("2") shouldBe 2
            (INVALID + null).forEach { reader.read(it) shouldBe null }
            reader.read(" 3 ") shouldBe 3
        }

        test("guards against a late response of an earlier era that counts for the later one") {
            val reader = StoreEraReader(HEADER) {}
            listOf("2", "1", "0", "2", "5", "4").map(reader::read) shouldBe listOf(2L, 1L, 0L, 2L, 5L, 4L)
        }

        test("guards against a line of the log for each response with the same fault") {
            for (seed in 1..SEEDS) {
                val random = Random(seed)
                val lines = mutableListOf<String>()
                val reader = StoreEraReader(HEADER, lines::add)
                repeat(200) { reader.read(random.header(random.nextInt(5))) }
                repeat(200) { reader.read("-$it") }
                withClue("seed $seed") {
                    lines.size shouldBeLessThanOrEqual 16
                    lines.shouldBeUnique()
                }
            }
        }

        // A write that counted as one of the latest era although it reached a restored store could grant something twice.
        test("guards against a call that succeeds, or throws, in a sequence of responses with odd eras") {
            val loops = autoClose(HttpEventLoops(1))
            val client = autoClose(UpstreamClient(UpstreamSettings(), loops, BufferBudget()))
            var stated: String? = null
            var isSent = false
            var successes = 0
            var failures = 0
            val server =
                HttpServer(HttpServerSettings(), loops, BufferBudget(), { exchange ->
                    val headers = mutableListOf("ETag" to "\"7\"")
                    stated?.let { headers += HEADER to it }
                    isSent = true
                    val isListing = exchange.head.path == "/v1/objects"
                    val body = if (isListing) """{"objects":[],"position":5}""" else "{}"
                    exchange.respond(200, Headers.of(*headers.toTypedArray()), body.encodeToByteArray())
                }).start()
            server.use {
                for (seed in 1..SEEDS) {
                    val random = Random(seed)
                    val store = EraCheckedStore(HttpObjectStore(client, PlatformSettings(server.address)))
                    var latest: Long? = null
                    var known = ObjectVersion.NONE
                    repeat(20) {
                        stated = random.header((latest ?: 0).toInt())
                        isSent = false
                        val era = stated?.trim()?.toLongOrNull()?.takeIf { it in 0..ObjectVersion.MAX_ERA }
                        val isValid = if (era == null) stated == null && latest == null else true
                        val isCurrent = isValid && (era ?: 0) >= (latest ?: 0)
                        val sentIn = if (known == ObjectVersion.NONE) latest ?: era ?: 0 else known.era
                        val isOneEra = isCurrent && (era ?: 0) == sentIn
                        val (isOk, isAllowed) =
                            when (random.nextInt(4)) {
                                0 -> store.list("a/").isOk to isCurrent
                                1 -> store.watch("a/", known, Duration.ZERO).isOk to isCurrent
                                2 -> {
                                    val written = store.put(KEY, "{}", known)
                                    written.get()?.let { known = it }
                                    written.isOk to isOneEra
                                }
                                else -> {
                                    val read = store.get(KEY)
                                    read.get()?.let { known = it.version }
                                    read.isOk to isValid
                                }
                            }
                        withClue("seed $seed, stated $stated after $latest") { (isOk && !isAllowed) shouldBe false }
                        if (isOk) successes++ else failures++
                        if (isSent && era != null && era > (latest ?: -1)) latest = era
                    }
                }
            }
            successes shouldBeGreaterThan SEEDS
            failures shouldBeGreaterThan SEEDS
        }
    }) {
    private companion object {
        const val HEADER = "Limpetfold-Store-Era"
        const val SEEDS = 100
        val KEY = ObjectKey("a/b")
        val INVALID =
            listOf("", " ", "x", "1.5", "-1", "0x2", "1,2", "${ObjectVersion.MAX_ERA + 1}", "9".repeat(400))

        /** Mostly [latest], else a later era, an earlier one, none or an invalid one. */
        fun Random.header(latest: Int): String? =
            when (nextInt(8)) {
                0 -> null
                1 -> INVALID.random(this)
                2 -> "${nextInt(latest + 1)}"
                3 -> "${latest + 1}"
                else -> "$latest"
            }
    }
}
