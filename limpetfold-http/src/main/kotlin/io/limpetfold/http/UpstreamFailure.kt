package io.limpetfold.http

import java.io.IOException

/** Carries the reason of a broken exchange to its reader. */
internal class UpstreamFailure(
    val reason: UpstreamError.Reason,
    override val message: String,
) : IOException(message)
