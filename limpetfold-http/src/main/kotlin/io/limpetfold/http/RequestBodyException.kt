package io.limpetfold.http

import java.io.IOException

/**
 * The request body can't be used.
 *
 * @property status the status with which the server answers when the handler lets the exception pass.
 */
class RequestBodyException(
    val status: Int,
    override val message: String,
) : IOException(message)
