package io.limpetfold.routing

import com.github.michaelbull.result.Result

/** Decodes the stored form of a configuration. */
fun interface RoutingTableDecoder {
    /** Returns the table, or a message that says what is wrong with [text]. */
    fun decode(text: String): Result<RoutingTable, String>
}
