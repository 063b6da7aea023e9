package io.limpetfold.http

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.CopyOnWriteArrayList

/** The time between the choice of an endpoint and the first byte that is written to it. */
class WithdrawnRequestTest :
    FunSpec({
        /** Runs [test] on the single event loop of a client, so that nothing is written before [test] suspends. */
        suspend fun onLoop(test: suspend CoroutineScope.(UpstreamClient, ScriptedEndpoint, List<String>) -> Unit) {
            val targets = CopyOnWriteArrayList<String>()
            val endpoint =
                ScriptedEndpoint {
                    while (true) {
                        targets += (readHead() ?: break).substringAfter(' ').substringBefore(' ')
                        respond("done")
                    }
                }
            endpoint.use {
                HttpEventLoops(threads = 1).use { loops ->
                    val client =
                        UpstreamClient(UpstreamSettings(), loops, BufferBudget(), dispatcher = loops.dispatcher)
                    client.use { withContext(loops.dispatcher) { test(client, endpoint, targets) } }
                }
            }
        }

        suspend fun UpstreamClient.get(
            address: HostPort,
            target: String,
        ) = send(address, UpstreamRequest("GET", target))
            .get()
            ?.readAll(100)
            ?.get()
            ?.decodeToString()

        test("guards against a request that is written although it was withdrawn while its connection opened") {
            onLoop { client, endpoint, targets ->
                var withdrawal: String? = null
                val withdrawn =
                    async(start = CoroutineStart.UNDISPATCHED) {
                        client.send(endpoint.address, UpstreamRequest("GET", "/1")) { withdrawal }
                    }
                withdrawal = "the endpoint leaves"
                withdrawn.await().getError() shouldBe
                    UpstreamError.NotSent(UpstreamError.Reason.WITHDRAWN, "the endpoint leaves")
                client.get(endpoint.address, "/2") shouldBe "done"
                targets shouldContainExactly listOf("/2")
                endpoint.connectionCount shouldBe 1
            }
        }

        test("guards against a request that waits for ever because its check failed") {
            onLoop { client, endpoint, targets ->
                shouldThrow<IllegalStateException> {
                    client.send(endpoint.address, UpstreamRequest("GET", "/1")) { error("the check fails") }
                }
                client.get(endpoint.address, "/2") shouldBe "done"
                targets shouldContainExactly listOf("/2")
                client.openConnections(endpoint.address) shouldBe 1
            }
        }

        test("guards against a request that is written on a pooled connection after its caller has left") {
            onLoop { client, endpoint, targets ->
                client.get(endpoint.address, "/1") shouldBe "done"
                val left = launch(start = CoroutineStart.UNDISPATCHED) { client.get(endpoint.address, "/2") }
                left.cancel()
                left.join()
                client.get(endpoint.address, "/3") shouldBe "done"
                targets shouldContainExactly listOf("/1", "/3")
                endpoint.connectionCount shouldBe 1
            }
        }
    })
