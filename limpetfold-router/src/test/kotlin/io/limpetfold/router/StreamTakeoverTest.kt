package io.limpetfold.router

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds

private const val ROUNDS = 20
private const val RETRIES = 12
private const val TOKENS = 100

/** Load pattern: retries of one request take its stream over from each other. */
class StreamTakeoverTest :
    FunSpec({
        test("guards against a resumed stream that is taken over and stays open with its bytes in the buffer") {
            TestFleet().use { fleet ->
                fleet.start()
                fleet.engines.forEach { it.settings = it.settings.copy(tokenMillis = 2.0) }
                repeat(ROUNDS) { round ->
                    coroutineScope {
                        List(RETRIES) { async { fleet.caller(0).use { it.chat("w7", TOKENS, "round-$round") } } }
                            .awaitAll()
                    }
                }
                eventually(5.seconds) {
                    val views = fleet.routers.map { it.view() }
                    assertSoftly {
                        withClue("bytes in buffers") { views.sumOf { it.bufferedBytes } shouldBe 0 }
                        withClue("slots in use") {
                            views.sumOf { view -> view.endpoints.sumOf { it.inFlight } } shouldBe
                                0
                        }
                    }
                }
                fleet.reservedTokens("w7") shouldBe 0
                fleet.stopRouters()
            }
        }
    })
