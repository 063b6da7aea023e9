package io.limpetfold.http

/** The status and header fields of a response. */
data class ResponseHead(
    val status: Int,
    val headers: Headers,
)
