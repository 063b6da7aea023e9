package io.limpetfold.http

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Immutable HTTP header fields in the order received; names are compared ignoring case. */
class Headers private constructor(
    val entries: ImmutableList<Pair<String, String>>,
) {
    /** Returns the first value of [name], or null. */
    operator fun get(name: String): String? = entries.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    /** Returns all values of [name]. */
    fun all(name: String): List<String> = entries.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }

    /** Returns a copy in which [value] is the only value of [name]. */
    fun with(
        name: String,
        value: String,
    ): Headers = Headers((without(name).entries + (name to value)).toImmutableList())

    /** Returns a copy without the fields [names]. */
    fun without(vararg names: String): Headers =
        Headers(entries.filter { (name, _) -> names.none { it.equals(name, ignoreCase = true) } }.toImmutableList())

    /**
     * Returns the fields that may be forwarded: all but the hop-by-hop fields, which include those named in
     * `Connection` except [endToEnd]. By that field the sender must not take off a field that is meant for the other end.
     */
    fun withoutHopByHop(endToEnd: Collection<String> = emptyList()): Headers {
        val named =
            all("Connection")
                .flatMap { it.split(',') }
                .map { it.trim() }
                .filter { name -> endToEnd.none { it.equals(name, ignoreCase = true) } }
        return without(*HOP_BY_HOP, *named.toTypedArray())
    }

    override fun toString(): String = entries.joinToString { it.first }

    companion object {
        private val HOP_BY_HOP =
            arrayOf(
                "Connection",
                "Content-Length",
                "Expect",
                "Keep-Alive",
                "Proxy-Authenticate",
                "Proxy-Authorization",
                "Proxy-Connection",
                "TE",
                "Trailer",
                "Transfer-Encoding",
                "Upgrade",
            )

        /** No fields. */
        val EMPTY: Headers = Headers(emptyList<Pair<String, String>>().toImmutableList())

        /** Returns headers with the given fields. */
        fun of(vararg entries: Pair<String, String>): Headers = Headers(entries.toList().toImmutableList())

        /** Returns headers with the given fields. */
        fun of(entries: Iterable<Pair<String, String>>): Headers = Headers(entries.toImmutableList())
    }
}
