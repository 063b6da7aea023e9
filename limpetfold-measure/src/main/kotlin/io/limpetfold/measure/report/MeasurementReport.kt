package io.limpetfold.measure.report

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import java.util.Locale
import kotlin.math.abs

/**
 * The result of one measurement, with the settings that are needed to repeat it.
 *
 * @property baseline describes what the rows are compared with.
 * @property rows each row maps column headings to cells; all rows have the same columns.
 */
@Serializable
data class MeasurementReport(
    val name: String,
    val settings: Map<String, String>,
    val baseline: String,
    val rows: List<Map<String, JsonPrimitive>>,
) {
    /** Formats settings, baseline and rows as Markdown. */
    fun toTable(): String =
        buildString {
            appendLine("$name: " + settings.entries.joinToString(", ") { "${it.key}=${it.value}" })
            appendLine("baseline: $baseline")
            appendLine()
            val columns = rows.firstOrNull()?.keys.orEmpty()
            appendLine(columns.joinToString(" | ", "| ", " |"))
            appendLine(columns.joinToString(" | ", "| ", " |") { "---" })
            for (row in rows) appendLine(columns.joinToString(" | ", "| ", " |") { text(row.getValue(it)) })
        }

    /** Formats the report as JSON. */
    fun toJson(): String = JSON.encodeToString(serializer(), this)

    private fun text(cell: JsonPrimitive): String {
        if (cell.isString || cell.longOrNull != null) return cell.content
        val value = cell.doubleOrNull ?: return cell.content
        val digits = if (abs(value) >= MIN_WITH_ONE_DIGIT) 1 else SMALL_DIGITS
        return String.format(Locale.ROOT, "%.${digits}f", value)
    }

    companion object {
        private val JSON = Json { prettyPrint = true }
        private const val MIN_WITH_ONE_DIGIT = 100.0
        private const val SMALL_DIGITS = 3

        /** Builds a row; the columns have the order of [cells]. Values other than numbers become strings. */
        fun row(vararg cells: Pair<String, Any>): Map<String, JsonPrimitive> =
            cells.associate { (column, value) ->
                column to
                    if (value is Number) JsonPrimitive(value) else JsonPrimitive(value.toString())
            }
    }
}
