package io.limpetfold.ctl

/** Lays out rows under headings; columns are as wide as their widest cell. */
internal object Table {
    fun format(
        headings: List<String>,
        rows: List<List<String>>,
    ): String {
        val all = listOf(headings) + rows
        val widths = headings.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("\n") { row ->
            row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
