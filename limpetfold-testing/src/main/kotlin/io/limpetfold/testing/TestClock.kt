package io.limpetfold.testing

import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import kotlin.time.TestTimeSource
import kotlin.time.toKotlinDuration

/** A clock that moves only when told: wall time and monotonic time advance together. */
class TestClock(
    start: Instant = Instant.parse("2026-01-01T00:00:00Z"),
) : InstantSource {
    private var now: Instant = start

    /** Monotonic time, as agents take it. */
    val monotonic: TestTimeSource = TestTimeSource()

    @Synchronized
    override fun instant(): Instant = now

    /** Moves both times forward. */
    @Synchronized
    fun advance(by: Duration) {
        require(!by.isNegative) { "time moves forward only" }
        now = now.plus(by)
        monotonic += by.toKotlinDuration()
    }

    /** Steps the wall clock alone, as a clock correction does. */
    @Synchronized
    fun stepWallClock(by: Duration) {
        now = now.plus(by)
    }
}
