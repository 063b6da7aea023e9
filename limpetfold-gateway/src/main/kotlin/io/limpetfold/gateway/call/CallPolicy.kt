package io.limpetfold.gateway.call

import java.time.Duration

/**
 * Bounds of one forwarded call.
 *
 * @property maxBodyBytes bound on the body of a request, which is held whole so that it can be sent to another endpoint.
 * @property maxHeldAnswerBytes an answer up to this size is held whole before its first byte goes to the caller, so that
 * one that breaks off can still be replaced.
 * @property maxBudgetWait the longest wait for tokens of a budget.
 * @property shortestSend with less time left a call is not sent any more.
 * @property maxConnectFailures endpoints that may turn out unreachable before a call is refused.
 * @property stallTimeout a resumable stream goes on elsewhere when its endpoint gave no byte on any connection for this long.
 * @property retryAfterMin the shortest `Retry-After` of a refusal that another router or a moment later may not meet.
 * @property retryAfterMax the longest such `Retry-After`; the times are spread between both so that callers do not return at once.
 */
data class CallPolicy(
    val maxBodyBytes: Int = MAX_BODY_BYTES,
    val maxHeldAnswerBytes: Int = MAX_HELD_ANSWER_BYTES,
    val maxBudgetWait: Duration = MAX_BUDGET_WAIT,
    val shortestSend: Duration = Duration.ofMillis(20),
    val maxConnectFailures: Int = 4,
    val stallTimeout: Duration = STALL_TIMEOUT,
    val retryAfterMin: Duration = Duration.ofMillis(60),
    val retryAfterMax: Duration = RETRY_AFTER_MAX,
) {
    private companion object {
        const val MAX_BODY_BYTES = 4 * 1024 * 1024
        const val MAX_HELD_ANSWER_BYTES = 256 * 1024
        val MAX_BUDGET_WAIT: Duration = Duration.ofMillis(600)
        val STALL_TIMEOUT: Duration = Duration.ofMillis(700)
        val RETRY_AFTER_MAX: Duration = Duration.ofMillis(250)
    }
}
