package io.limpetfold.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.dispatch.PromptDemand
import io.limpetfold.dispatch.PromptPart
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration

class PromptPartQuarantineTest :
    FunSpec({
        test("guards against a part that is blamed for crashes of calls that also contain an answered part") {
            val quarantine = PromptPartQuarantine()
            quarantine.onAnswered(prompt("common", "fine", "own"), at(0))
            (1..3).forEach { quarantine.onConnectionLost(endpoint(it), prompt("common", "bad", "own-$it"), at(it)) }
            quarantine.quarantinedParts(at(3)) shouldBe listOf("bad")
            quarantine.quarantinedPartOf(prompt("common", "bad", "own-4"), at(3)) shouldBe "bad"
            quarantine.quarantinedPartOf(prompt("common", "fine", "own-4"), at(3)) shouldBe null
        }

        test("guards against a refused first part where a later part of all crashed calls is enough") {
            val quarantine = PromptPartQuarantine()
            (1..3).forEach { quarantine.onConnectionLost(endpoint(it), prompt("first", "bad", "own-$it"), at(it)) }
            quarantine.quarantinedParts(at(3)) shouldBe listOf("bad")
        }

        test("guards against crashes that go on after a part was blamed that only some of the calls contain") {
            val quarantine = PromptPartQuarantine()
            (1..3).forEach { quarantine.onConnectionLost(endpoint(it), prompt("bad", "often", "own-$it"), at(it)) }
            (4..6).forEach { quarantine.onConnectionLost(endpoint(it), prompt("bad", "own-$it"), at(it)) }
            quarantine.quarantinedPartOf(prompt("bad", "other", "own-7"), at(6)) shouldBe "bad"
        }

        test("guards against the last part of a prompt, which no other request has, as evidence") {
            val quarantine = PromptPartQuarantine()
            (1..5).forEach { quarantine.onConnectionLost(endpoint(it), prompt("same"), at(it)) }
            quarantine.quarantinedParts(at(5)).shouldBeEmpty()
        }

        test("guards against a part that is blamed because many endpoints lost power at once") {
            val quarantine = PromptPartQuarantine()
            (1..20).forEach {
                quarantine.onConnectionLost(
                    endpoint(it),
                    prompt("new", "own-$it"),
                    at(1) + Duration.ofMillis(it.toLong()),
                )
            }
            quarantine.quarantinedParts(at(1)).shouldBeEmpty()
        }

        test("guards against a part that is blamed because one endpoint loses its connections again and again") {
            val quarantine = PromptPartQuarantine()
            (1..10).forEach { quarantine.onConnectionLost(endpoint(1), prompt("new", "own-$it"), at(it * 5)) }
            quarantine.quarantinedParts(at(50)).shouldBeEmpty()
        }

        test("guards against a router that sees one crash of several and blames nothing") {
            val routers = List(3) { PromptPartQuarantine() }
            routers.forEachIndexed { index, router ->
                router.onConnectionLost(endpoint(index), prompt("a", "bad", "own-$index"), at(index))
            }
            val started = PromptPartQuarantine()
            routers.forEach { started.merge(it.report(at(3)), at(3)) }
            started.quarantinedParts(at(3)) shouldBe listOf("bad")
        }

        test("guards against one crash that counts twice because two routers reported it at different times") {
            val routers = List(2) { PromptPartQuarantine() }
            routers.forEachIndexed { index, router ->
                (1..2).forEach { crash ->
                    val seenAt = at(crash * 5) + Duration.ofMillis(400L * index)
                    router.onConnectionLost(endpoint(crash), prompt("bad", "own-$index"), seenAt)
                }
            }
            routers.first().merge(routers.last().report(at(11)), at(11))
            routers.first().quarantinedParts(at(11)).shouldBeEmpty()
        }

        test("guards against a false quarantine that outlasts an answer which another router has seen") {
            val blaming = PromptPartQuarantine()
            (1..3).forEach { blaming.onConnectionLost(endpoint(it), prompt("rare", "own-$it"), at(it)) }
            val knowing = PromptPartQuarantine()
            knowing.onAnswered(prompt("rare", "own"), at(0))
            knowing.merge(blaming.report(at(4)), at(4))
            knowing.quarantinedParts(at(4)).shouldBeEmpty()
            blaming.merge(knowing.report(at(4)), at(4))
            blaming.quarantinedParts(at(4)).shouldBeEmpty()
        }

        test("guards against an answer that routers keep telling each other and that hides later crashes by its part") {
            val policy = QuarantinePolicy(answeredWindow = Duration.ofSeconds(60))
            val routers = List(2) { PromptPartQuarantine(policy) }
            val call = prompt("changed", "own")
            routers.first().onAnswered(call, at(0))
            for (second in 1..90 step 5) {
                routers.last().onConnectionLost(endpoint(second), call, at(second))
                routers.first().merge(routers.last().report(at(second)), at(second))
                routers.last().merge(routers.first().report(at(second)), at(second))
            }
            routers.map { it.blocks(call, at(90)) } shouldBe listOf(true, true)
        }

        test("guards against a quarantine without an end, and against three new crashes after its end") {
            val policy = QuarantinePolicy(firstQuarantine = Duration.ofSeconds(30))
            val quarantine = PromptPartQuarantine(policy)
            val call = prompt("bad", "own")
            (1..3).forEach { quarantine.onConnectionLost(endpoint(it), call, at(it)) }
            quarantine.quarantinedPartOf(call, at(32)) shouldBe "bad"
            quarantine.quarantinedPartOf(call, at(33)) shouldBe null
            quarantine.onConnectionLost(endpoint(4), call, at(40))
            quarantine.quarantinedPartOf(call, at(99)) shouldBe "bad"
            quarantine.quarantinedPartOf(call, at(100)) shouldBe null
            quarantine.onAnswered(call, at(101))
            quarantine.onConnectionLost(endpoint(5), call, at(102))
            quarantine.quarantinedPartOf(call, at(102)) shouldBe null
        }

        test("guards against a retry that would crash one more endpoint by a part that crashed two") {
            val quarantine = PromptPartQuarantine()
            val call = prompt("bad", "own")
            quarantine.onConnectionLost(endpoint(1), call, at(1))
            quarantine.isSuspect(call, at(1)) shouldBe false
            quarantine.onConnectionLost(endpoint(2), call, at(2))
            quarantine.isSuspect(call, at(2)) shouldBe true
            quarantine.onAnswered(call, at(3))
            quarantine.isSuspect(call, at(3)) shouldBe false
        }

        test("guards against state that grows with the number of crashes, parts and quarantines") {
            val policy = QuarantinePolicy(maxCrashes = 10, maxAnsweredParts = 10, maxQuarantinedParts = 2)
            val quarantine = PromptPartQuarantine(policy)
            repeat(1_000) { quarantine.onAnswered(prompt("answered-$it", "own"), at(it)) }
            for (part in 0 until 100) {
                repeat(3) {
                    val second = part * 3 + it
                    quarantine.onConnectionLost(endpoint(second), prompt("bad-$part", "own"), at(2_000 + second))
                }
            }
            val report = quarantine.report(at(2_300))
            report.crashes.size shouldBe 10
            report.quarantined.size shouldBe 2
        }
    })

private fun at(seconds: Int): Duration = Duration.ofSeconds(seconds.toLong())

private fun endpoint(number: Int) = EndpointId("i-$number")

private fun prompt(vararg parts: String) = PromptDemand(100, 10, parts.map { PromptPart(it, 10) }.toImmutableList())
