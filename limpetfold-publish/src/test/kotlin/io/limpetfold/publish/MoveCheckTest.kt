package io.limpetfold.publish

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldContain
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.rollout.MoveCommands
import io.limpetfold.rollout.MoveId
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MoveRequest
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentListOf
import java.time.Duration

class MoveCheckTest :
    FunSpec({
        test("guards against files that still name the old version and silently take back a completed move") {
            val clock = TestClock()
            val deadline = clock.instant() + Duration.ofMinutes(5)
            val start = MoveRequest(MoveId("m1"), RouteId("plans"), VersionId("v1"), VersionId("v2"), "ana", deadline)
            val running = checkNotNull(MoveCommands(FakeObjectStore(), clock).start(start).get())
            val completed = running.copy(phase = MovePhase.Completed)
            val now = clock.millis()

            MoveCheck.problems(config("v1"), listOf(running), now).shouldBeEmpty()
            MoveCheck.problems(config("v2"), listOf(running), now) shouldHaveSize 1
            MoveCheck.problems(config("v2"), listOf(completed), now).shouldBeEmpty()
            MoveCheck.problems(config("v1"), listOf(completed), now).single() shouldContain "write activeVersion: v2"
        }
    }) {
    private companion object {
        fun config(active: String) =
            FleetConfig(
                maxRouters = 2,
                routes = persistentListOf(RouteConfig(RouteId("plans"), "/plans", "jezik", VersionId(active))),
            )
    }
}
