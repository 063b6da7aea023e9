package io.limpetfold.ctl.report

import io.limpetfold.burn.SloBurnBucket
import io.limpetfold.burn.SloBurnReport
import io.limpetfold.burn.SloBurnSeries
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.Objectives
import io.limpetfold.core.RouteId
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MoveRecord
import java.time.Instant
import java.util.Locale

/**
 * The burn report as one HTML page without scripts or external references.
 *
 * It has a plot for each route and a table of all windows, in which breaches are highlighted.
 */
internal object BurnPage {
    private const val WIDTH_PX = 720
    private const val HEIGHT_PX = 180
    private const val MARGIN_PX = 30
    private const val SPAN_SECONDS = 6 * 3600L
    private const val MAX_BURN_RATE = 20.0

    /** The alert threshold of the shortest window, `SloBurnWindow.FIVE_MINUTES`. */
    private const val ALERT_BURN_RATE = 14.4

    fun create(
        report: SloBurnReport,
        config: FleetConfig,
        moves: List<MoveRecord>,
    ): String {
        val end = Instant.parse(report.createdAt).epochSecond
        val plots =
            report.history.joinToString("\n") { series ->
                val objectives = config.route(RouteId(series.route))?.objectives ?: Objectives()
                plot(series, objectives, moves.filter { it.route.value == series.route }, end)
            }
        val rows =
            report.lines.joinToString("\n") {
                val style = if (it.isBreached) " class=\"breach\"" else ""
                "<tr$style><td>${escape(it.route)}</td><td>${escape(it.workspace)}</td>" +
                    "<td>${it.window}</td><td>${it.total}</td>" +
                    "<td>${it.failed}</td><td>${it.slow}</td><td>${number(it.availabilityBurn)}</td>" +
                    "<td>${number(it.latencyBurn)}</td><td>${if (it.isBreached) "breach" else "ok"}</td></tr>"
            }
        return """
            |<!DOCTYPE html>
            |<html lang="en"><head><meta charset="utf-8"/><title>Service-level burn</title>
            |<style>
            |body{font-family:sans-serif;margin:2em;max-width:${WIDTH_PX + 2 * MARGIN_PX}px}
            |table{border-collapse:collapse}td,th{padding:.2em .6em;border-bottom:1px solid #ddd;text-align:left}
            |.breach{background:#fdd}.availability{stroke:#b00}.latency{stroke:#06c}
            |polyline{fill:none;stroke-width:1.5}.alert{stroke:#b00;stroke-dasharray:4}.move{stroke:#080}text{font-size:11px}
            |</style></head><body>
            |<h1>Service-level burn</h1>
            |<p>Created ${report.createdAt}. Red: availability, blue: latency, dashed: alert threshold of the shortest window,
            |green: start and end of a move. A burn of 1 spends the error budget exactly by the end of its period.</p>
            |$plots
            |<h2>Windows</h2>
            |<table><tr><th>Route</th><th>Workspace</th><th>Window</th><th>Total</th><th>Failed</th><th>Slow</th>
            |<th>Availability burn</th><th>Latency burn</th><th>State</th></tr>
            |$rows
            |</table></body></html>
            |
            """.trimMargin()
    }

    private fun plot(
        series: SloBurnSeries,
        objectives: Objectives,
        moves: List<MoveRecord>,
        end: Long,
    ): String {
        val recent = series.buckets.filter { it.startEpochSeconds > end - SPAN_SECONDS && it.total > 0 }
        val availability =
            line(recent, end, "availability") {
                it.failed.toDouble() / it.total /
                    (1 - objectives.availability)
            }
        val latency = line(recent, end, "latency") { it.slow.toDouble() / it.total / (1 - objectives.latencyShare) }
        val marks =
            moves.joinToString("") { move ->
                val finish =
                    if (move.phase.isFinal) {
                        mark(
                            move.changedAtMillis,
                            end,
                            "${move.newVersion} ${label(move)}",
                        )
                    } else {
                        ""
                    }
                mark(move.startedAtMillis, end, "move to ${move.newVersion}") + finish
            }
        val alertY = y(ALERT_BURN_RATE)
        return """
            |<h2>${escape(series.route)}</h2>
            |<svg width="${WIDTH_PX + 2 * MARGIN_PX}" height="${HEIGHT_PX + 2 * MARGIN_PX}" role="img">
            |<line class="alert" x1="$MARGIN_PX" x2="${MARGIN_PX + WIDTH_PX}" y1="$alertY" y2="$alertY"/>
            |<line stroke="#888" x1="$MARGIN_PX" x2="${MARGIN_PX + WIDTH_PX}" y1="${y(0.0)}" y2="${y(0.0)}"/>
            |<text x="0" y="$alertY">$ALERT_BURN_RATE</text><text x="0" y="${y(0.0)}">0</text>
            |<text x="$MARGIN_PX" y="${HEIGHT_PX + 2 * MARGIN_PX - 4}">6 h ago</text>
            |<text x="${MARGIN_PX + WIDTH_PX - 20}" y="${HEIGHT_PX + 2 * MARGIN_PX - 4}">now</text>
            |$availability$latency$marks
            |</svg>
            """.trimMargin()
    }

    private fun line(
        buckets: List<SloBurnBucket>,
        end: Long,
        style: String,
        rate: (SloBurnBucket) -> Double,
    ): String {
        val points = buckets.joinToString(" ") { "${x(it.startEpochSeconds, end)},${y(rate(it))}" }
        return "<polyline class=\"$style\" points=\"$points\"/>"
    }

    private fun mark(
        atMillis: Long,
        end: Long,
        text: String,
    ): String {
        val at = Instant.ofEpochMilli(atMillis).epochSecond
        if (at <= end - SPAN_SECONDS) return ""
        val x = x(at, end)
        return "<line class=\"move\" x1=\"$x\" x2=\"$x\" y1=\"${y(MAX_BURN_RATE)}\" y2=\"${y(0.0)}\"/>" +
            "<text x=\"$x\" y=\"${y(MAX_BURN_RATE) - 4}\">${escape(text)}</text>"
    }

    private fun label(move: MoveRecord): String = if (move.phase is MovePhase.Completed) "completed" else "taken back"

    private fun x(
        epochSeconds: Long,
        end: Long,
    ): Long = MARGIN_PX + (epochSeconds - (end - SPAN_SECONDS)) * WIDTH_PX / SPAN_SECONDS

    private fun y(rate: Double): Long =
        (
            MARGIN_PX + HEIGHT_PX -
                rate.coerceIn(0.0, MAX_BURN_RATE) / MAX_BURN_RATE * HEIGHT_PX
        ).toLong()

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.2f", value)

    private fun escape(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")
}
