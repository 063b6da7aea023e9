package io.limpetfold.http

import java.io.IOException

/** Fails the reader and the writer of an exchange with an endpoint; reported as an [UpstreamError]. */
internal class UpstreamException(
    val reason: UpstreamError.Reason,
    override val message: String,
) : IOException(message)
