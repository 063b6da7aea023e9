package io.limpetfold.measure.budgets

import io.limpetfold.testing.TestClock

/** The state of the simulated network: which routers can reach the platform and each other at present. */
internal class BudgetEnvironment(
    val routers: Int,
    val workspaces: Int,
) {
    val clock = TestClock()
    var isPlatformDown = false
    var isPartitioned = false

    fun reachesPlatform(router: Int): Boolean = !isPlatformDown && !(isPartitioned && isCutOff(router))

    fun reachesPeer(
        from: Int,
        to: Int,
    ): Boolean = !isPartitioned || isCutOff(from) == isCutOff(to)

    private fun isCutOff(router: Int): Boolean = router >= routers / 2
}
