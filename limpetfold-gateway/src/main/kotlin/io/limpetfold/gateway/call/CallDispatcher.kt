package io.limpetfold.gateway.call

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.limpetfold.core.EndpointId
import io.limpetfold.core.VersionId
import io.limpetfold.dispatch.CallOutcome
import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.dispatch.EndpointState
import io.limpetfold.dispatch.FleetRetryBudget
import io.limpetfold.dispatch.FleetRetryBudgetPolicy
import io.limpetfold.dispatch.PickRequest
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.UpstreamResponse
import io.limpetfold.quarantine.PromptPartQuarantine
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.routing.CallKind
import kotlinx.coroutines.delay
import java.time.Duration

/**
 * Sends a call to endpoints until one responds, within the route's maximum number of attempts and the fleet's retry
 * budget.
 */
internal class CallDispatcher(
    private val picker: EndpointPicker,
    private val sender: EndpointSender,
    private val quarantine: PromptPartQuarantine,
    private val codec: CallCodec,
    private val clock: MonotonicClock,
    private val policy: CallPolicy,
    private val retryBudgetPolicy: () -> FleetRetryBudgetPolicy,
    private val versionSelector: TimedVersionSelector,
    private val routerCount: () -> Int,
) {
    private val retryBudgets = HashMap<String, FleetRetryBudget>()

    /** Returns how the call ended; on [CallEnd.Refused] the refusal has not been written yet. */
    suspend fun dispatch(
        exchange: HttpExchange,
        call: AdmittedCall,
    ): CallEnd = Dispatch(exchange, call).run()

    private inner class Dispatch(
        private val exchange: HttpExchange,
        private val call: AdmittedCall,
    ) {
        private val retryBudget = retryBudgets.getOrPut(call.service) { FleetRetryBudget(retryBudgetPolicy) }
        private val relay = StreamRelay(clock, codec, policy)
        private val choiceAge = ChoiceAge(clock, policy)
        private val triedEndpoints = mutableSetOf<EndpointId>()
        private var sentCount = 0
        private var connectFailures = 0
        private var withdrawals = 0

        /** The attempt that has taken the stream of the running one over; it runs next. */
        private var successor: Attempt? = null

        suspend fun run(): CallEnd =
            try {
                call.move = versionSelector.choose(call.service)
                attemptUntilEnd()
            } finally {
                // A call that is cancelled can leave an accepted attempt behind.
                takeSuccessor()?.discard()
            }

        private suspend fun attemptUntilEnd(): CallEnd {
            while (true) {
                val attempt =
                    takeSuccessor() ?: run {
                        if (call.deadline - clock.now() < policy.minAttemptTime) return tooLate()
                        if (quarantine.blocks(call.headers.prompt, clock.now())) return quarantined()
                        Attempt(pickUntried() ?: return noEndpoint())
                    }
                when (val result = attempt.run()) {
                    is SendResult.Delivered -> return CallEnd.Completed(result.status)
                    is SendResult.NotSent, is SendResult.Withdrawn ->
                        if (!mayChooseAgain(attempt)) return noEndpoint()
                    is SendResult.NotRun -> if (!acquireRetry()) return notRun()
                    is SendResult.Unknown -> if (!call.route.isRetryable || !acquireRetry()) return unknownOutcome()
                    is SendResult.Interrupted -> if (!canResume() || !acquireRetry()) return truncated(result.reason)
                    is SendResult.Repeated, is SendResult.HandedOver -> Unit
                }
            }
        }

        /**
         * Whether another endpoint may be chosen after [unsent], which sent nothing. After a withdrawal the event loop
         * reads what is ready first, and the same endpoint may be chosen again if it may still be used.
         */
        private suspend fun mayChooseAgain(unsent: Attempt): Boolean {
            if (!unsent.isWithdrawn) return ++connectFailures <= policy.maxConnectFailures
            triedEndpoints -= unsent.state.endpoint.id
            if (++withdrawals > policy.maxWithdrawals) return false
            delay(policy.pendingReadTime.toMillis())
            return true
        }

        /** Returns why a call that was to go to the endpoint of [state] may no longer be written there, or null. */
        private fun withdrawal(state: EndpointState): String? {
            val now = clock.now()
            return when {
                call.deadline - now < policy.minAttemptTime -> "too little time is left"
                quarantine.blocks(call.headers.prompt, now) -> "a part of its prompt is quarantined"
                !picker.isInUse(state, pickRequest(), now) -> "the endpoint is no longer in use"
                else -> choiceAge.withdrawal() ?: limitWithdrawal(state, now)
            }
        }

        private fun limitWithdrawal(
            state: EndpointState,
            now: Duration,
        ): String? = if (picker.callLimits.tryAcquire(state, now)) null else "the limit of the endpoint is used up"

        private fun takeSuccessor(): Attempt? = successor.also { successor = null }

        private fun pickUntried(): EndpointState? = picker.pick(pickRequest(), clock.now())

        private fun pickRequest(): PickRequest {
            val affinityKey =
                call.headers.prompt
                    ?.affinityKey
                    ?.takeIf { call.route.hasAffinity }
            val versions = call.move?.preference
            return PickRequest(
                call.service,
                affinityKey,
                triedEndpoints,
                versions,
                avoidedVersions(),
                connectionShare(),
            )
        }

        private fun connectionShare(): Int? =
            call.table
                .service(call.service)
                ?.maxConnections
                ?.let { it / maxOf(1, routerCount()) }

        private fun avoidedVersions() = versionSelector.withdrawnVersions(call.service).mapTo(HashSet()) { it.value }

        /** One endpoint that the call is sent to; what it does is recorded once, at its end. */
        private inner class Attempt(
            val state: EndpointState,
        ) {
            private val move = call.move?.withServedVersion(VersionId(state.endpoint.version))
            private val sentAt = clock.now()
            private var response: UpstreamResponse? = null
            private var isSent = false

            /** Whether the attempt ended because its call was withdrawn before it was written. */
            var isWithdrawn = false
                private set

            init {
                triedEndpoints += state.endpoint.id
                choiceAge.onChosen()
                call.attempts += "${state.endpoint.id}(load=${state.inFlight})"
                picker.onCallStarted(state)
                versionSelector.onCallStarted(move)
            }

            /** Sends the call unless [offerStream] did, and forwards the response. */
            suspend fun run(): SendResult {
                var result: SendResult? = null
                try {
                    result = (if (response == null) open() else null) ?: deliver()
                    return result
                } finally {
                    end(result)
                }
            }

            /** Sends the call and waits for the first piece of its response; returns whether it goes on with the stream. */
            suspend fun offerStream(): Boolean {
                var isAccepted = false
                var result: SendResult? = null
                try {
                    result = open() ?: awaitStream()
                    isAccepted = result == null
                    return isAccepted
                } finally {
                    if (!isAccepted) discard(result)
                }
            }

            /** Returns null once a piece of a stream has arrived, and otherwise what came in its place. */
            private suspend fun awaitStream(): SendResult? {
                val opened = checkNotNull(response)
                val status = opened.head.status
                if (!sender.isStream(opened)) return SendResult.Unknown("status $status instead of a stream")
                val first = opened.next()
                val error = first.getError()
                if (error != null) return SendResult.Unknown(error.message, error.isConnectionLost)
                val piece = first.get() ?: return SendResult.Unknown("the stream ended before its first event")
                response = PeekedResponse(opened, piece)
                return null
            }

            /** Ends an attempt that does not run, because of [result] or because it is no longer needed. */
            fun discard(result: SendResult? = null) {
                response?.close()
                end(result)
            }

            /** Returns what ended the attempt, or null if its response has begun. */
            private suspend fun open(): SendResult? {
                var opened: EndpointSender.Opened? = null
                try {
                    opened = sender.open(call, state, relay) { withdrawal(state).also { isSent = it == null } }
                    response = (opened as? EndpointSender.Opened.Responding)?.response
                    return (opened as? EndpointSender.Opened.Ended)?.result
                } finally {
                    if (isSent) onSent()
                }
            }

            private fun onSent() {
                if (sentCount == 0) retryBudget.onFirstAttempt(clock.now())
                sentCount++
            }

            private suspend fun deliver(): SendResult =
                checkNotNull(response).use {
                    sender.deliver(exchange, call, state, relay, it, ::acquireRepeat, Handover())
                }

            private fun end(result: SendResult?) {
                val outcome = result?.callOutcome ?: CallOutcome.UNKNOWN
                picker.onCallEnded(state, outcome, clock.now())
                versionSelector.onCallEnded(
                    move,
                    call.route.route,
                    versionObservationOf(outcome, call, sentAt, clock.now()),
                )
                if (result == null) return
                call.attemptOutcomes += result.logText
                isWithdrawn = result is SendResult.Withdrawn
                call.headers.prompt?.let { quarantine.record(state.endpoint.id, it, result, clock.now()) }
            }
        }

        /**
         * Offers the stream of the running attempt to an endpoint that the call has not been sent to, or once more to
         * one that was silent when it was asked.
         */
        private inner class Handover : StreamHandover {
            private var asked: EndpointState? = null
            private var askedAt = Duration.ZERO

            /** An endpoint that was silent when it was asked; its second attempt is taken from the retry budget already. */
            private var silentEndpoint: EndpointState? = null
            private var hasPostponed = false

            /** Whether a retry was acquired for an offer that was not sent; the next one uses it. */
            private var hasUnusedRetry = false

            override val isPossible: Boolean
                get() =
                    (!relay.hasStarted || canResume()) &&
                        mayRepeat() &&
                        !quarantine.blocks(call.headers.prompt, clock.now()) &&
                        (untriedEndpoint() ?: repeatedEndpoint()) != null

            override suspend fun offer(): Boolean {
                val repeated = repeatedEndpoint()
                val candidate = untriedEndpoint() ?: repeated ?: return false
                if (repeated == null && !hasUnusedRetry && !acquireRetry()) return false
                silentEndpoint = null
                asked = candidate
                askedAt = clock.now()
                hasUnusedRetry = false
                val attempt = Attempt(candidate)
                val isAccepted = attempt.offerStream()
                if (isAccepted) successor = attempt
                if (attempt.isWithdrawn) onWithdrawn(candidate, repeated)
                return isAccepted
            }

            /** An offer that was withdrawn before it was sent leaves the endpoint and the retry to the next one. */
            private fun onWithdrawn(
                candidate: EndpointState,
                repeated: EndpointState?,
            ) {
                if (repeated == null) hasUnusedRetry = true
                silentEndpoint = repeated
                if (candidate !== repeated) triedEndpoints -= candidate.endpoint.id
            }

            override fun postpone(): Boolean {
                val endpoint = asked ?: return false
                val isSilent = endpoint.lastByteAt <= askedAt
                if (hasPostponed || !isSilent) return false
                hasPostponed = true
                if (!mayRepeat() || !acquireFromBudget()) return false
                silentEndpoint = endpoint
                return true
            }

            override fun onProgress() {
                hasPostponed = false
                silentEndpoint = null
            }

            override fun withdraw() {
                takeSuccessor()?.discard()
            }

            private fun repeatedEndpoint() = silentEndpoint?.takeIf { picker.mayTake(it, pickRequest(), clock.now()) }

            private fun untriedEndpoint() =
                if (hasAttemptLeft()) pickUntried()?.takeIf { it.ejectedUntil <= clock.now() } else null
        }

        /** Acquires another attempt in place of an error response, which is forwarded if none can follow. */
        private fun acquireRepeat(): Boolean =
            call.route.kind == CallKind.IDEMPOTENT && hasAttemptLeft() && pickUntried() != null && acquireRetry()

        private fun hasAttemptLeft() = sentCount < call.route.maxAttempts && mayRepeat()

        private fun mayRepeat() =
            call.deadline - clock.now() >= policy.minAttemptTime &&
                !quarantine.isSuspect(call.headers.prompt, clock.now())

        private fun acquireRetry() = hasAttemptLeft() && acquireFromBudget()

        private fun acquireFromBudget() = retryBudget.tryAcquire(routerCount(), clock.now())

        private fun quarantined(): CallEnd =
            if (call.mayHaveRun) unknownOutcome() else CallEnd.Refused(RefusalReason.PROMPT_PART_QUARANTINED)

        private fun canResume() = call.route.isResumable && relay.lastEventId != null

        private fun notRun(): CallEnd =
            if (call.mayHaveRun) unknownOutcome() else paused() ?: CallEnd.Refused(RefusalReason.ENDPOINT_FULL)

        private fun noEndpoint(): CallEnd =
            when {
                call.mayHaveRun -> unknownOutcome()
                connectFailures > 0 -> CallEnd.Refused(RefusalReason.ENDPOINTS_UNREACHABLE)
                else -> paused() ?: CallEnd.Refused(RefusalReason.NO_ENDPOINT)
            }

        /** The refusal of a call while no endpoint of its service takes calls by what it has said; null if one does. */
        private fun paused(): CallEnd? {
            val resumesAt = picker.resumesAt(call.service, clock.now(), avoidedVersions()) ?: return null
            return CallEnd.Refused(RefusalReason.ENDPOINTS_PAUSED, retryAfter = resumesAt - clock.now())
        }

        private fun tooLate(): CallEnd =
            if (call.mayHaveRun) unknownOutcome() else CallEnd.Refused(RefusalReason.TOO_LATE)

        private fun unknownOutcome(): CallEnd =
            if (relay.hasStarted) truncated("no endpoint left") else CallEnd.Refused(RefusalReason.OUTCOME_UNKNOWN)

        private fun truncated(reason: String): CallEnd {
            relay.abort()
            return CallEnd.Truncated(reason)
        }
    }
}
