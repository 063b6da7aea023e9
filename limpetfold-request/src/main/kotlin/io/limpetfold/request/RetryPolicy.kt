package io.limpetfold.request

/**
 * Decides whether a request may be sent to another endpoint.
 *
 * @property maxAttempts maximum number of attempts, including the first.
 */
data class RetryPolicy(
    val maxAttempts: Int = 3,
) {
    /**
     * Returns whether the state of a request permits sending it again.
     *
     * A request that is proven not to have started need not be idempotent. The [RetryBudget] must permit the attempt as
     * well.
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
