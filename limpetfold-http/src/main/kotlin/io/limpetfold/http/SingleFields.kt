package io.limpetfold.http

import io.netty.handler.codec.http.HttpHeaders
import java.util.TreeSet

/** The header fields that may stand only once in a head; names are compared ignoring case. */
internal class SingleFields(
    names: Collection<String>,
) {
    private val names = TreeSet(String.CASE_INSENSITIVE_ORDER).apply { addAll(names) }

    /** Returns the name of a field that stands more than once in [headers] and may not, or null. */
    fun repeatedIn(headers: HttpHeaders): String? {
        val seen = HashSet<String>()
        val fields = headers.iteratorAsString()
        while (fields.hasNext()) {
            val name = fields.next().key
            if (name in names && !seen.add(name.lowercase())) return name
        }
        return null
    }
}
