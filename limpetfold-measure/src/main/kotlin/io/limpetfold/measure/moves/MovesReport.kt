package io.limpetfold.measure.moves

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.Locale

/**
 * The result of [MovesMeasurement].
 *
 * @property seeds runs for each row.
 * @property rows one for each workload, policy and kind of version.
 */
@Serializable
data class MovesReport(
    val seeds: Int,
    val routers: Int,
    val durationSeconds: Long,
    val rows: List<MovesRow>,
) {
    /** Formats the rows as a Markdown table. */
    fun toTable(): String =
        buildString {
            appendLine(
                "| workload | policy | version | good moved in time | bad taken back | requests to a bad one | after it showed |",
            )
            appendLine("| --- | --- | --- | --- | --- | --- | --- |")
            for (row in rows) {
                val cells =
                    listOf(
                        row.workload,
                        row.policy,
                        row.kind.name,
                        share(row.goodMovedInTime, row.goodMoves),
                        share(row.badTakenBack, row.badMoves),
                        row.badRequests?.toString() ?: "-",
                        row.requestsAfterShown?.toString() ?: "-",
                    )
                appendLine(cells.joinToString(" | ", "| ", " |"))
            }
        }

    /** Formats the report as JSON. */
    fun toJson(): String = JSON.encodeToString(serializer(), this)

    private fun share(
        count: Int,
        total: Int,
    ): String = if (total == 0) "-" else String.format(Locale.ROOT, "%d of %d", count, total)

    private companion object {
        val JSON = Json { prettyPrint = true }
    }
}

/**
 * One row of the report.
 *
 * @property policy name of a preset, or "fixed steps" for the baseline with a fixed error threshold.
 * @property goodMovedInTime moves to a good version that completed by the deadline.
 * @property badTakenBack moves to a bad version that did not complete.
 * @property badRequests requests per move that a bad version received while it misbehaved; null without bad versions.
 * @property requestsAfterShown those of [badRequests] that were sent after the fault was detectable: after 5 failures
 *   or, for [VersionKind.SLOW], 10 slow responses.
 */
@Serializable
data class MovesRow(
    val workload: String,
    val policy: String,
    val kind: VersionKind,
    val goodMoves: Int,
    val goodMovedInTime: Int,
    val badMoves: Int,
    val badTakenBack: Int,
    val badRequests: Spread?,
    val requestsAfterShown: Spread?,
)

/** The distribution of a count over runs. */
@Serializable
data class Spread(
    val mean: Double,
    val p50: Int,
    val p95: Int,
    val max: Int,
) {
    override fun toString(): String =
        String.format(Locale.ROOT, "mean %.1f, p50 %d, p95 %d, max %d", mean, p50, p95, max)

    companion object {
        /** Summarises [values]; null if there are none. */
        fun of(values: List<Int>): Spread? {
            if (values.isEmpty()) return null
            val sorted = values.sorted()
            return Spread(
                sorted.average(),
                sorted[sorted.size / 2],
                sorted[
                    minOf(
                        sorted.lastIndex,
                        sorted.size * 95 / 100,
                    ),
                ],
                sorted.last(),
            )
        }
    }
}
