package io.limpetfold.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.Socket

/** Load pattern: requests that are answered before their body has arrived. */
class EarlyResponseTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))

        fun connect(server: HttpServer) =
            RawConnection(Socket(server.address.host, server.address.port).apply { soTimeout = 10_000 })

        fun startRefusing() = HttpServer(HttpServerSettings(), loops, BufferBudget(), { it.respond(404) }).start()

        test(
            "guards against a whole request that is read and never answered, after a response without Connection: close",
        ) {
            startRefusing().use { server ->
                val caller = connect(server)
                caller.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n01234")
                caller.readHead()!!.lowercase() shouldContain "connection: close"
                caller.write("56789")
                caller.readToEnd() shouldBe ""
            }
        }

        test("guards against a connection that is given up after a request whose body had arrived") {
            startRefusing().use { server ->
                val caller = connect(server)
                repeat(3) {
                    caller.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
                    caller.readHead()!!.lowercase() shouldNotContain "connection: close"
                }
            }
        }
    })
