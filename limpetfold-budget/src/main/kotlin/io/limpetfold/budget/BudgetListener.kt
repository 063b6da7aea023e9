package io.limpetfold.budget

/** Receives the events of a [BudgetAgent]; called on the caller's thread, so it must return quickly. */
fun interface BudgetListener {
    fun onEvent(event: BudgetEvent)

    companion object {
        /** Ignores all events. */
        val NONE: BudgetListener = BudgetListener { }
    }
}
