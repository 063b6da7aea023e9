package io.limpetfold.measure.demo

import io.limpetfold.budget.BudgetLedger
import io.limpetfold.store.TypedObject

/** The totals of a workspace's budget ledger that the demo prints and checks, in tokens. */
internal data class Ledger(
    val paidTokens: Long,
    val settledTokens: Long,
    val grantedTokens: Long,
) {
    companion object {
        private const val OK = 200

        fun read(
            http: JdkHttp,
            platform: String,
            workspace: String,
        ): Ledger {
            val response = http.get("http://$platform/v1/objects/budget/$workspace")
            if (response.statusCode() != OK) return Ledger(0, 0, 0)
            val ledger = TypedObject.JSON.decodeFromString(BudgetLedger.serializer(), response.body())
            return Ledger(ledger.paidTokens, ledger.settledTokens, ledger.holders.values.sumOf { it.grantedTokens })
        }
    }
}
