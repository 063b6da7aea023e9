package io.limpetfold.http

/** The status and header fields of an answer. */
data class ResponseHead(
    val status: Int,
    val headers: Headers,
)
