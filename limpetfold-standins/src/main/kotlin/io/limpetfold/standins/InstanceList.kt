package io.limpetfold.standins

import io.limpetfold.peer.ListedInstance
import java.util.ArrayDeque
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The platform's instance list, which shows each change only after a lag. */
class InstanceList(
    initial: List<ListedInstance>,
    @Volatile var lagMillis: Long,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private class Change(
        val visibleAt: TimeMark,
        val instances: List<ListedInstance>,
    )

    private val pending = ArrayDeque<Change>()
    private var visible = initial

    /** Replaces the list; readers see it after the lag. */
    fun replace(instances: List<ListedInstance>): Unit =
        synchronized(pending) {
            pending.addLast(Change(time.markNow() + lagMillis.milliseconds, instances))
        }

    /** Returns the list as readers see it now. */
    fun visible(): List<ListedInstance> =
        synchronized(pending) {
            while (pending.peekFirst()?.visibleAt?.hasPassedNow() == true) visible = pending.removeFirst().instances
            visible
        }
}
