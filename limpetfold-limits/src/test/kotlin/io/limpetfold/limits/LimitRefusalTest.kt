package io.limpetfold.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.limpetfold.core.RouteId
import java.time.Duration

class LimitRefusalTest :
    FunSpec({
        test("guards against a message about a full queue that names a setting which routes do not have") {
            val message = LimitRefusal.QueueFull(RouteId("r"), Duration.ofSeconds(1)).message
            message shouldContain "queue.maxRequests"
            message shouldNotContain "maxQueued"
        }
    })
