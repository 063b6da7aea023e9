package io.limpetfold.request

/**
 * Decides whether a request may be sent to another endpoint.
 *
 * @property maxAttempts attempts in all, the first one included.
 */
data class RetryPolicy(
    val maxAttempts: Int = 3,
) {
    /**
     * Returns whether the request in [state] may be sent again, as far as its own state allows.
     *
     * A proven "not started" needs no idempotency. The [RetryBudget] must allow the attempt as well.
     */
    fun canRetry(
        state: RequestState,
        isIdempotent: Boolean,
    ): Boolean =
        when (state) {
            is RequestState.Reserved -> state.attempts < maxAttempts
            is RequestState.Unknown -> isIdempotent && state.passedBytes == 0L && state.attempts < maxAttempts
            is RequestState.Admitted,
            is RequestState.Sent,
            is RequestState.Answering,
            is RequestState.Answered,
            is RequestState.Refused,
            -> false
        }
}
