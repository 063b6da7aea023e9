package io.limpetfold.router.settings

import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.limpetfold.config.yaml.SettingsPage
import io.limpetfold.router.RouterCommand

class RouterSettingsTest :
    FunSpec({
        test("guards against a settings page that differs from the settings of the program") {
            val minimal =
                """{"instance":"a","zone":"a","platform":"a:1","callers":{"port":0},
                "operators":{"port":0,"key":"a"},"peers":{"port":0,"key":"a"}}"""
            SettingsPage.documentedRows("limpetfold-router") shouldBe
                SettingsPage.expectedRows(RouterSettings.serializer(), minimal)
        }

        test("guards against settings errors that are reported one at a time, or that contain a key") {
            val file = tempfile().apply { writeText(FAULTY) }
            val result = RouterCommand().test(listOf("--settings", file.path, "--check"))
            result.statusCode shouldBe 2
            listOf(
                "1: instance: has the value 'router 1'",
                "2: callers.port: has the value '70000'",
                "3: operators.key: is too short",
                "4: peers.key: is too short",
                "4: peers.seeds: has a malformed entry",
                "5: platform: has the value '10.0.0.1'",
                "6: buffers.process: has the value '64'",
                "7: stop.drain: has the value '1h'",
                "8: stopp: is an unknown key",
            ).forEach { result.stderr shouldContain "${file.path}:$it" }
            result.stderr shouldContain "zone: is missing; set it to a text"
            result.stderr shouldNotContain "s3cret"
        }

        test("guards against options without help, and valid settings that are refused") {
            listOf("YAML file with the settings", "check the settings and exit", "SIGTERM").forEach {
                RouterCommand().test("--help").stdout shouldContain it
            }
            RouterCommand().test("--version").statusCode shouldBe 0
            val file =
                tempfile().apply {
                    writeText(
                        "instance: r\nzone: z\nplatform: 10.0.0.1:1\ncallers: {port: 0}\n" +
                            "operators: {port: 0, key: ${"k".repeat(16)}}\npeers: {port: 0, key: ${"k".repeat(32)}}",
                    )
                }
            RouterCommand().test(listOf("--settings", file.path, "--check")).statusCode shouldBe 0
        }
    }) {
    private companion object {
        const val FAULTY = """instance: router 1
callers: {port: 70000}
operators: {port: 1, key: s3cret-1}
peers: {port: 2, key: s3cret-2, seeds: [router-1]}
platform: 10.0.0.1
buffers: {process: 64}
stop: {drain: 1h}
stopp: {}
"""
    }
}
