package io.limpetfold.http

private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"

/** Whether this character may stand in the name of a header field (a token, RFC 9110). */
internal fun Char.isTokenChar(): Boolean =
    this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9' || this in TOKEN_SYMBOLS

/** Whether this field value is one decimal number without a sign. */
internal fun String.isDecimalNumber(): Boolean = isNotEmpty() && all { it in '0'..'9' }
