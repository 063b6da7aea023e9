package io.limpetfold.testing

import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import kotlin.time.TestTimeSource
import kotlin.time.toKotlinDuration

/** A clock that a test moves by hand; [advance] moves wall time and monotonic time together. */
class TestClock(
    start: Instant = Instant.parse("2026-01-01T00:00:00Z"),
) : InstantSource {
    private var now: Instant = start

    /** The monotonic time source for the classes under test. */
    val monotonic: TestTimeSource = TestTimeSource()

    @Synchronized
    override fun instant(): Instant = now

    /** Moves wall time and monotonic time forward. */
    @Synchronized
    fun advance(by: Duration) {
        require(!by.isNegative) { "time moves forward only" }
        now = now.plus(by)
        monotonic += by.toKotlinDuration()
    }

    /** Moves wall time alone, as a clock correction does; [by] may be negative. */
    @Synchronized
    fun stepWallClock(by: Duration) {
        now = now.plus(by)
    }
}
