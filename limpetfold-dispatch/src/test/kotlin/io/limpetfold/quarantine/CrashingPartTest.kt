package io.limpetfold.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.dispatch.PromptDemand
import io.limpetfold.dispatch.PromptPart
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration
import kotlin.random.Random

/**
 * Load pattern: one call in twenty contains a part that crashes its endpoint, among calls of 500 sessions that share the
 * other parts; endpoints also crash by themselves, and connections are lost.
 */
class CrashingPartTest :
    FunSpec({
        // Nothing tied a crash to the prompt, so that calls with one part ended endpoint after endpoint.
        test("guards against more than three calls with the part that reach endpoints 3 s after the fifth crash") {
            for (seed in 1..100) {
                val fleet = CrashingFleet(Random(seed), crashingShare = 0.05)
                fleet.play(seconds = 40)
                withClue("seed $seed, ${fleet.crashes.size} crashes") {
                    fleet.crashes.size shouldBeGreaterThan 0
                    fleet.sentAfterFifthCrash() shouldBeLessThanOrEqual 3
                    fleet.refusedSoundCalls shouldBeLessThanOrEqual fleet.soundCalls / 100
                }
            }
        }

        test("guards against a part that is blamed for crashes, losses of power and resets that have other causes") {
            for (seed in 1..30) {
                val fleet = CrashingFleet(Random(seed), crashingShare = 0.0)
                fleet.play(seconds = 120)
                withClue("seed $seed") { fleet.refusedSoundCalls shouldBe 0 }
            }
        }
    })

private const val ROUTERS = 8
private const val ENDPOINTS = 13
private const val STEP_MILLIS = 50L
private const val CALLS_PER_STEP = 3
private const val EXCHANGE_STEPS = 5
private const val RUN_MILLIS = 500
private const val SESSIONS = 500
private const val BAD_PART = "bad"

private class CrashingFleet(
    private val random: Random,
    private val crashingShare: Double,
) {
    private val routers = List(ROUTERS) { PromptPartQuarantine() }
    private val sharedRevisions = LongArray(ROUTERS) { -1 }
    private val running = mutableListOf<Call>()
    private val badCallTimes = mutableListOf<Long>()
    private val badPosition = random.nextInt(3)
    private var nowMillis = 0L
    private var lifetimes = ENDPOINTS
    private val endpoints = MutableList(ENDPOINTS) { EndpointId("i-$it") }

    /** Times of the crashes by [BAD_PART]. */
    val crashes = mutableListOf<Long>()
    var soundCalls = 0
        private set
    var refusedSoundCalls = 0
        private set

    fun play(seconds: Int) {
        while (nowMillis < seconds * 1_000L) {
            repeat(CALLS_PER_STEP) { arrive() }
            endCalls()
            if (random.nextInt(200) == 0) loseEndpoints(1 + random.nextInt(3))
            if (nowMillis / STEP_MILLIS % EXCHANGE_STEPS == 0L) exchange()
            nowMillis += STEP_MILLIS
        }
    }

    fun sentAfterFifthCrash(): Int {
        val fifth = crashes.getOrNull(4) ?: return 0
        return badCallTimes.count { it > fifth + 3_000 }
    }

    private fun arrive() {
        val isBad = random.nextDouble() < crashingShare
        val router = random.nextInt(ROUTERS)
        val prompt = prompt(isBad)
        if (!isBad) soundCalls++
        if (routers[router].quarantinedPartOf(prompt, now()) != null) {
            if (!isBad) refusedSoundCalls++
            return
        }
        if (isBad) badCallTimes += nowMillis
        running += Call(router, random.nextInt(ENDPOINTS), prompt, nowMillis + 100 + random.nextInt(RUN_MILLIS), isBad)
    }

    private fun endCalls() {
        while (true) {
            val call = running.filter { it.endMillis <= nowMillis }.minByOrNull { it.endMillis } ?: return
            if (call.isBad) {
                crashes += nowMillis
                crash(call.endpoint)
            } else {
                running -= call
                if (random.nextInt(50) == 0) onLost(call) else routers[call.router].onAnswered(call.prompt, now())
            }
        }
    }

    private fun loseEndpoints(count: Int) =
        endpoints.indices
            .shuffled(random)
            .take(count)
            .forEach { crash(it) }

    private fun crash(endpoint: Int) {
        val ended = running.filter { it.endpoint == endpoint }
        ended.forEach { onLost(it) }
        running -= ended.toSet()
        endpoints[endpoint] = EndpointId("i-${lifetimes++}")
    }

    private fun onLost(call: Call) = routers[call.router].onConnectionLost(endpoints[call.endpoint], call.prompt, now())

    /** Each router with changes sends its report to all others, which respond with theirs. */
    private fun exchange() =
        routers.forEachIndexed { index, router ->
            if (router.revision != sharedRevisions[index]) {
                sharedRevisions[index] = router.revision
                for (peer in routers - router) {
                    peer.merge(router.report(now()), now())
                    router.merge(peer.report(now()), now())
                }
            }
        }

    private fun prompt(isBad: Boolean): PromptDemand {
        val session = random.nextInt(SESSIONS)
        val parts = mutableListOf("system-${session % 4}", "session-$session")
        if (isBad) parts.add(badPosition, BAD_PART)
        parts += "own-${random.nextLong()}"
        return PromptDemand(1_000, 100, parts.map { PromptPart(it, 100) }.toImmutableList())
    }

    private fun now(): Duration = Duration.ofMillis(nowMillis)

    private class Call(
        val router: Int,
        val endpoint: Int,
        val prompt: PromptDemand,
        val endMillis: Long,
        val isBad: Boolean,
    )
}
