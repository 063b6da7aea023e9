package io.limpetfold.publish

import com.github.ajalt.clikt.command.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.standins.PlatformStandin

class HttpPlatformTest :
    FunSpec({
        test("guards against a wrongly set up platform client: publish, then diff over HTTP") {
            val files = tempfile().apply { writeText("maxRouters: 4\nworkspaces: []\n") }
            HttpEventLoops(1).use { loops ->
                HttpServer(HttpServerSettings(), loops, BufferBudget(), PlatformStandin()).start().use { server ->
                    val settings =
                        tempfile().apply { writeText("platform: ${server.address}\nauthor: ana\ncallTimeout: 30s\n") }
                    val program = { PublishProgram(HttpPlatform::connect) }

                    val result = program().test(listOf("publish", "--settings", settings.path, files.path))
                    result.output shouldContain "published generation 1"
                    result.statusCode shouldBe 0
                    program().test(listOf("diff", "--settings", settings.path, files.path)).stdout shouldContain
                        "compared with generation 1 of ana"
                }
            }
        }
    })
