package io.limpetfold.gateway.call

import io.limpetfold.core.RequestId

/**
 * The refusal of a call by its request head.
 *
 * @property request the identity that the refusal carries, if the head has one.
 * @property field name of the header field because of which the call is refused, or null.
 */
internal class AdmissionRefusal(
    val reason: RefusalReason,
    val request: RequestId?,
    val field: String? = null,
) {
    /** The message for the caller. */
    val message: String = if (field == null) reason.message else "the header field $field can't be read"
}
