package io.limpetfold.http

import java.io.IOException

/**
 * The request body is malformed, too large or late.
 *
 * @property status the response status that the server sends if the handler does not catch the exception.
 */
class RequestBodyException(
    val status: Int,
    override val message: String,
) : IOException(message)
