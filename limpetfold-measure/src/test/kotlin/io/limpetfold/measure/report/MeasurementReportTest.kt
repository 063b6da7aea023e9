package io.limpetfold.measure.report

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json

/** Guards against a table or a JSON file that loses a setting, a column or the precision of a figure. */
class MeasurementReportTest :
    FunSpec({
        val report =
            MeasurementReport(
                "delays",
                mapOf("seeds" to "0..4", "routers" to "8"),
                "none",
                listOf(MeasurementReport.row("policy" to "a", "count" to 12, "share" to 0.12345, "large" to 1234.56)),
            )

        test("the table has settings, baseline, columns in order, whole numbers and rounded fractions") {
            report.toTable() shouldBe
                """
                delays: seeds=0..4, routers=8
                baseline: none

                | policy | count | share | large |
                | --- | --- | --- | --- |
                | a | 12 | 0.123 | 1234.6 |

                """.trimIndent()
        }

        test("the JSON decodes to the same report, with figures not rounded") {
            Json.decodeFromString(MeasurementReport.serializer(), report.toJson()) shouldBe report
            report.toJson() shouldContain "0.12345"
        }
    })
