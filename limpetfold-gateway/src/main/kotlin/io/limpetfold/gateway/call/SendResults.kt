package io.limpetfold.gateway.call

import io.limpetfold.dispatch.CallOutcome

private const val SERVER_ERROR = 500

/** What the end of an attempt shows about its endpoint. */
internal val SendResult.callOutcome: CallOutcome
    get() =
        when (this) {
            is SendResult.Delivered -> if (status >= SERVER_ERROR) CallOutcome.FAILED else CallOutcome.SUCCEEDED
            is SendResult.NotRun -> CallOutcome.REJECTED
            is SendResult.Withdrawn -> CallOutcome.UNKNOWN
            is SendResult.NotSent,
            is SendResult.Unknown,
            is SendResult.Interrupted,
            is SendResult.HandedOver,
            is SendResult.Repeated,
            -> CallOutcome.UNREACHABLE
        }

/** The end of an attempt as the log of the call shows it. */
internal val SendResult.logText: String
    get() =
        when (this) {
            is SendResult.Delivered -> "delivered $status"
            is SendResult.NotSent -> "not sent: $reason"
            is SendResult.Withdrawn -> "withdrawn: $reason"
            is SendResult.NotRun -> "not run $status"
            is SendResult.Unknown -> "unknown: $reason"
            is SendResult.Interrupted -> "interrupted: $reason"
            is SendResult.HandedOver -> "handed over: $reason"
            is SendResult.Repeated -> "unknown: status $status"
        }
