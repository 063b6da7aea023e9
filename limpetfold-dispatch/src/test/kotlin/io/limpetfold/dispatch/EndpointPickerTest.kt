package io.limpetfold.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.store.ObjectVersion
import java.time.Duration
import kotlin.random.Random

class EndpointPickerTest :
    FunSpec({
        fun directory(
            count: Int,
            zones: Int = 1,
        ) = EndpointDirectory().also { directory ->
            val endpoints =
                (1..count).map {
                    Endpoint(EndpointId("i-$it"), 1, "s", "10.0.0.$it", 80, ZoneId("z${it % zones}"), "v1", 6)
                }
            directory.applyList(endpoints, ObjectVersion.of(1), NOW)
        }

        fun picker(
            directory: EndpointDirectory,
            seed: Int = 1,
        ) = EndpointPicker(directory, ZoneId("z0"), random = Random(seed))

        test("guards against routers that send one session to different engines, which then process its prompt again") {
            val directory = directory(13)
            val chosen =
                (1..8).map { seed ->
                    picker(directory, seed).pick(PickRequest("s", "session-1"), NOW)?.endpoint?.id
                }
            chosen.toSet() shouldHaveSize 1
        }

        test("guards against a hot affinity key that fills one engine while the others are idle") {
            val picker = picker(directory(8))
            val states =
                (1..40).map {
                    picker
                        .pick(
                            PickRequest("s", "hot"),
                            NOW,
                        ).shouldNotBeNull()
                        .also(picker::onCallStarted)
                }
            states.maxOf { it.inFlight } shouldBeLessThanOrEqual 16
            states.distinct().size shouldBeGreaterThan 2
        }

        test("guards against calls to an endpoint that announced its leaving, until another incarnation has its id") {
            val directory = directory(2)
            val picker = picker(directory)
            val leaving = picker.pick(PickRequest("s", null), NOW).shouldNotBeNull()
            picker.onLeaving(leaving, NOW)
            val others = (1..20).map { picker.pick(PickRequest("s", "session-$it"), NOW)?.endpoint?.id }
            others.toSet() shouldBe setOf(EndpointId("i-1"), EndpointId("i-2")) - leaving.endpoint.id
            // The entry is missing for a while, as during an outage of the store, and its state is evicted meanwhile.
            directory.applyChanges(emptyList(), listOf(leaving.endpoint.id), ObjectVersion.of(2), NOW)
            picker.evictRemoved(NOW)
            directory.applyChanges(listOf(leaving.endpoint), emptyList(), ObjectVersion.of(3), NOW)
            picker.pick(PickRequest("s", null, setOf(others.first()!!)), NOW) shouldBe null
            directory.applyChanges(
                listOf(leaving.endpoint.copy(startedAtMillis = 2)),
                emptyList(),
                ObjectVersion.of(4),
                NOW,
            )
            picker.pick(PickRequest("s", null, setOf(others.first()!!)), NOW).shouldNotBeNull()
        }

        test("guards against a second attempt at an endpoint that may get no calls any more") {
            val request = PickRequest("s", null, avoidedVersions = setOf("v2"))
            val changes =
                listOf<EndpointPicker.(EndpointDirectory, EndpointState) -> Unit>(
                    { _, state -> onLeaving(state, NOW) },
                    { _, state -> pause(state, NOW + Duration.ofSeconds(1)) },
                    { _, state -> onCallStarted(state).also { onCallEnded(state, CallOutcome.UNREACHABLE, NOW) } },
                    {
                        directory,
                        state,
                        ->
                        directory.applyChanges(emptyList(), listOf(state.endpoint.id), ObjectVersion.of(2), NOW)
                    },
                    { directory, state ->
                        directory.applyChanges(
                            listOf(state.endpoint.copy(version = "v2")),
                            emptyList(),
                            ObjectVersion.of(2),
                            NOW,
                        )
                    },
                )
            changes.forEach { change ->
                val directory = directory(2)
                val picker = picker(directory)
                val state = picker.pick(request, NOW).shouldNotBeNull()
                picker.mayTake(state, request, NOW) shouldBe true
                picker.change(directory, state)
                picker.mayTake(state, request, NOW) shouldBe false
            }
        }

        test("guards against calls to an endpoint that asked for a pause, and calls that are refused after it") {
            val picker = picker(directory(2))
            val first = picker.pick(PickRequest("s", null), NOW).shouldNotBeNull()
            picker.pause(first, NOW + Duration.ofSeconds(3))
            val second = picker.pick(PickRequest("s", null), NOW).shouldNotBeNull()
            second.endpoint.id shouldNotBe first.endpoint.id
            picker.resumesAt("s", NOW) shouldBe null
            picker.pause(second, NOW + Duration.ofSeconds(2))
            // An earlier end does not shorten a pause.
            picker.pause(first, NOW + Duration.ofSeconds(1))
            picker.pick(PickRequest("s", null), NOW) shouldBe null
            picker.resumesAt("s", NOW) shouldBe NOW + Duration.ofSeconds(2)
            picker.pick(PickRequest("s", null), NOW + Duration.ofSeconds(2))?.endpoint?.id shouldBe second.endpoint.id
        }

        test(
            "guards against a move that sends its calls to the new version because the old endpoints asked for a pause",
        ) {
            val directory = directory(2)
            val new = directory.all(NOW).first().copy(id = EndpointId("new"), version = "v2")
            directory.applyChanges(listOf(new), emptyList(), ObjectVersion.of(2), NOW)
            val picker = picker(directory)
            val toOld = PickRequest("s", null, versions = VersionPreference("v2", isTargetPreferred = false, true))
            repeat(2) { picker.pause(picker.pick(toOld, NOW).shouldNotBeNull(), NOW + Duration.ofSeconds(1)) }
            picker.pick(toOld, NOW) shouldBe null
            val toNew = PickRequest("s", null, versions = VersionPreference("v2", isTargetPreferred = true, true))
            picker.pick(toNew, NOW)?.endpoint?.version shouldBe "v2"
        }

        test("guards against calls to a withdrawn version while another one can serve, and refusals when none can") {
            val directory = directory(2)
            val withdrawn = directory.all(NOW).first().copy(id = EndpointId("withdrawn"), version = "v2")
            directory.applyChanges(listOf(withdrawn), emptyList(), ObjectVersion.of(2), NOW)
            val picker = picker(directory)
            val others = setOf(EndpointId("i-1"), EndpointId("i-2"))
            val request = PickRequest("s", null, avoidedVersions = setOf("v2"))
            val toOld = VersionPreference("v3", isTargetPreferred = false, isFallbackAllowed = true)
            for (each in listOf(request, request.copy(affinityKey = "k"), request.copy(versions = toOld))) {
                repeat(50) { picker.pick(each, NOW)?.endpoint?.version shouldBe "v1" }
                // A retry that has tried all others is refused, and a pause of the others is not a reason either.
                picker.pick(each.copy(excluded = others), NOW) shouldBe null
            }
            repeat(2) { picker.pause(picker.pick(request, NOW).shouldNotBeNull(), NOW + Duration.ofSeconds(1)) }
            picker.pick(request, NOW) shouldBe null
            picker.resumesAt("s", NOW, request.avoidedVersions) shouldBe NOW + Duration.ofSeconds(1)
            directory.applyChanges(emptyList(), others.toList(), ObjectVersion.of(3), NOW)
            picker.pick(request, NOW)?.endpoint?.id shouldBe withdrawn.id
        }

        test("guards against a call that is never sent because an endpoint that it tried would be preferred") {
            val directory = directory(2)
            val new = directory.all(NOW).first().copy(id = EndpointId("new"), version = "v2")
            directory.applyChanges(listOf(new), emptyList(), ObjectVersion.of(2), NOW)
            val picker = picker(directory)
            val old = setOf(EndpointId("i-1"), EndpointId("i-2"))
            for ((tried, isTargetPreferred) in listOf(setOf(new.id) to true, old to false)) {
                val versions = VersionPreference("v2", isTargetPreferred, isFallbackAllowed = true)
                val request = PickRequest("s", null, excluded = tried, versions = versions)
                val chosen = picker.pick(request, NOW).shouldNotBeNull()
                val excluded = tried + chosen.endpoint.id
                picker.isInUse(chosen, request.copy(excluded = excluded), NOW) shouldBe true
                picker.onLeaving(chosen, NOW)
                picker.isInUse(chosen, request.copy(excluded = excluded), NOW) shouldBe false
            }
        }

        test(
            "guards against calls to an unreachable endpoint, and against refusing calls when all endpoints are ejected",
        ) {
            val picker = picker(directory(2))
            val failing = picker.pick(PickRequest("s", "k"), NOW).shouldNotBeNull()
            picker.onCallStarted(failing)
            picker.onCallEnded(failing, CallOutcome.UNREACHABLE, NOW)
            val other = picker.pick(PickRequest("s", "k"), NOW).shouldNotBeNull()
            (other === failing) shouldBe false
            picker.onCallStarted(other)
            picker.onCallEnded(other, CallOutcome.UNREACHABLE, NOW)
            picker.pick(PickRequest("s", "k"), NOW).shouldNotBeNull()
            picker.pick(PickRequest("s", "k", setOf(failing.endpoint.id, other.endpoint.id)), NOW) shouldBe null
        }

        test("guards against an endpoint that fails part of its calls and still gets its full share") {
            val picker = picker(directory(4))
            val counts = HashMap<String, Int>()
            repeat(800) {
                val state = picker.pick(PickRequest("s", null), NOW).shouldNotBeNull()
                picker.onCallStarted(state)
                val id = state.endpoint.id.value
                counts.merge(id, 1, Int::plus)
                val isFailure = id == "i-1" && it % 2 == 0
                picker.onCallEnded(state, if (isFailure) CallOutcome.FAILED else CallOutcome.SUCCEEDED, NOW)
            }
            counts.getValue("i-1") shouldBeLessThanOrEqual 140
        }

        test("guards against connections that an endpoint resets, and refusals while all endpoints are at the limit") {
            val picker = picker(directory(2))
            val request = PickRequest("s", "hot", connectionShare = 8)

            fun next() = picker.pick(request, NOW).shouldNotBeNull().also(picker::onCallStarted)
            val states = List(16) { next() }
            states
                .groupingBy { it.endpoint.id }
                .eachCount()
                .values
                .toSet() shouldBe setOf(8)
            next()
            // The endpoints have six slots each, which a smaller share leaves open to one router.
            val other = picker(directory(2))
            val small = request.copy(connectionShare = 1)
            val hot = List(6) { other.pick(small, NOW).shouldNotBeNull().also(other::onCallStarted) }
            hot.toSet() shouldHaveSize 1
        }

        test(
            "guards against a full share of calls for an endpoint that is slow after its start, and a lasting penalty",
        ) {
            val directory = directory(4)
            val cold = directory.all(NOW).first().copy(startedAtMillis = 2, coldMillis = 5_000)
            directory.applyChanges(listOf(cold), emptyList(), ObjectVersion.of(2), NOW)

            fun share(now: Duration): Int {
                val picker = picker(directory)
                val states =
                    List(70) {
                        picker.pick(PickRequest("s", null), now).shouldNotBeNull().also(picker::onCallStarted)
                    }
                return states.count { it.endpoint.id == cold.id }
            }
            share(NOW) shouldBeLessThanOrEqual 11
            share(NOW + Duration.ofSeconds(5)) shouldBeGreaterThan 16
        }

        test("guards against cross-zone calls while an endpoint in the router's own zone has free slots") {
            val picker = picker(directory(4, zones = 2))
            val state = picker.pick(PickRequest("s", null), NOW).shouldNotBeNull()
            state.endpoint.zone shouldBe ZoneId("z0")
        }
    }) {
    private companion object {
        val NOW: Duration = Duration.ofSeconds(1)
    }
}
