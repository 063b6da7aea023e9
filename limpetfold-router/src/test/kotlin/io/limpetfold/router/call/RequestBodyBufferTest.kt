package io.limpetfold.router.call

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.limpetfold.http.BodySource
import io.limpetfold.http.HttpExchange
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.yield
import java.lang.reflect.Proxy

class RequestBodyBufferTest :
    FunSpec({
        test("guards against many concurrent uploads that together fill the memory") {
            val buffer = RequestBodyBuffer(limitBytes = LIMIT_BYTES)
            var maxHeldBytes = 0L
            val results =
                coroutineScope {
                    (1..50)
                        .map { number ->
                            async {
                                repeat(number) { yield() }
                                buffer.read(upload(), maxBytes = 5_000) {
                                    yield()
                                    maxHeldBytes = maxOf(maxHeldBytes, buffer.heldBytes)
                                    it.size
                                }
                            }
                        }.awaitAll()
                }

            maxHeldBytes shouldBeLessThanOrEqual LIMIT_BYTES
            results.count { it == null } shouldBeGreaterThan 0
            results.filterNotNull().toSet() shouldBe setOf(CHUNKS * CHUNK_BYTES)
            buffer.heldBytes shouldBe 0
        }
    }) {
    private companion object {
        const val LIMIT_BYTES = 6_000L
        const val CHUNKS = 10
        const val CHUNK_BYTES = 100

        fun upload(): HttpExchange {
            var remainingChunks = CHUNKS
            val body =
                BodySource {
                    yield()
                    if (remainingChunks-- > 0) ByteArray(CHUNK_BYTES) else null
                }
            return Proxy.newProxyInstance(
                HttpExchange::class.java.classLoader,
                arrayOf(HttpExchange::class.java),
            ) { _, method, _ ->
                if (method.name == "getBody") body else null
            } as HttpExchange
        }
    }
}
