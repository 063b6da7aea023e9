package io.limpetfold.rollout

import io.limpetfold.testing.FakeObjectStore
import kotlin.random.Random

/** Restores [store] from copies of up to [MAX_COPIES] ticks before, and executes writes up to two ticks late. */
internal class StoreRestores(
    private val random: Random,
    private val store: FakeObjectStore,
) {
    private val copies = ArrayDeque<FakeObjectStore.Copy>()
    private var writesFromLastTick = 0

    /** Whether restores and late writes still occur. */
    var isActive = true

    fun onTick() {
        repeat(writesFromLastTick) { store.executeDelayed() }
        while (store.delayedCount > 0 && random.nextBoolean()) store.executeDelayed()
        writesFromLastTick = store.delayedCount
        copies.addLast(store.copy())
        if (copies.size > MAX_COPIES) copies.removeFirst()
    }

    fun isDue(): Boolean = isActive && random.nextInt(RESTORE_INTERVAL_TICKS) == 0

    fun isWriteDelayed(): Boolean = isActive && random.nextInt(25) == 0

    /** Restores one or two copies; returns how many ticks each of them is old. */
    fun restore(): List<Int> =
        List(if (random.nextInt(4) == 0) 2 else 1) {
            val age = if (random.nextBoolean()) random.nextInt(minOf(5, copies.size)) else random.nextInt(copies.size)
            store.restore(copies[copies.size - 1 - age])
            age
        }

    private companion object {
        const val MAX_COPIES = 40
        const val RESTORE_INTERVAL_TICKS = 50
    }
}
