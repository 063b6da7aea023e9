package io.limpetfold.http

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration

class ConnectTimeoutsTest :
    FunSpec({
        val settings =
            UpstreamSettings(connectTimeout = Duration.ofMillis(100), maxConnectTimeout = Duration.ofMillis(200))

        test(
            "guards against an address that is never reached because each connection is given up as early as the last",
        ) {
            // The system drops further attempts to connect while the queue of the listener is full.
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
                val queued = List(2) { Socket(listener.inetAddress, listener.localPort) }
                HttpEventLoops(threads = 1).use { loops ->
                    UpstreamClient(settings, loops, BufferBudget()).use { client ->
                        val address = HostPort("127.0.0.1", listener.localPort)
                        for (timeout in listOf("100 ms", "200 ms", "200 ms")) {
                            val error = client.send(address, UpstreamRequest("GET", "/")).getError()
                            error?.reason shouldBe UpstreamError.Reason.CONNECT_TIMEOUT
                            error?.message.orEmpty() shouldContain "after $timeout"
                        }
                    }
                }
                queued.forEach { it.close() }
            }
        }

        test("guards against a long timeout that stays after connections open in time again") {
            val timeouts = ConnectTimeouts(settings)
            val address = HostPort("127.0.0.1", 1)
            timeouts.onTimeout(address)
            timeouts.onOpened(address, Duration.ofMillis(150))
            timeouts.timeout(address) shouldBe Duration.ofMillis(200)
            timeouts.onOpened(address, Duration.ofMillis(90))
            timeouts.timeout(address) shouldBe Duration.ofMillis(100)
        }
    })
