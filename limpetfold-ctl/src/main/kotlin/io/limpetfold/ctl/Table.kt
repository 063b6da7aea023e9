package io.limpetfold.ctl

/** Lays out rows under headings; columns are as wide as their widest cell, and a table without rows shows `(none)`. */
internal object Table {
    fun format(
        headings: List<String>,
        rows: List<List<String>>,
    ): String {
        val all = listOf(headings) + rows.map { row -> row.map(::printable) }
        val widths = headings.indices.map { column -> all.maxOf { it[column].length } }
        val lines =
            all.map { row ->
                row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
            }
        return (if (rows.isEmpty()) lines + "(none)" else lines).joinToString("\n")
    }

    /** Replaces control characters: a line break in a stored name must not look like another row. */
    private fun printable(cell: String): String =
        cell.map { if (it.isISOControl()) '?' else it }.joinToString("").ifEmpty { "-" }
}
