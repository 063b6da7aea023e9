package io.limpetfold.routing

import com.github.michaelbull.result.Result

/** Decodes the stored form of a configuration. */
fun interface RoutingTableDecoder {
    /** Returns the table, or a message that says why [text] is invalid. */
    fun decode(text: String): Result<RoutingTable, String>
}
