package io.limpetfold.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against heads that this server and a later program read as different requests, and against refusing others. */
class OneReadingTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))
        val handled = CopyOnWriteArrayList<RequestHead>()
        val settings =
            HttpServerSettings(
                singleFields = HttpServerSettings.GENERAL_SINGLE_FIELDS + "Call-Id",
                refusalHeaders = Headers.of("Not-Run" to "1"),
            )
        val handler =
            HttpHandler {
                handled += it.head
                it.respond(200)
            }
        val server = autoClose(HttpServer(settings, loops, BufferBudget(), handler).start())

        fun send(request: String): String =
            Socket(server.address.host, server.address.port).use { socket ->
                socket.soTimeout = 5000
                val connection = RawConnection(socket)
                connection.write(request)
                connection.readToEnd()
            }

        fun head(
            target: String,
            fields: String = "",
            method: String = "GET",
        ) = "$method $target HTTP/1.1\r\nHost: a.example\r\n$fields" + "Connection: close\r\n\r\n"

        val badTargets =
            listOf(
                "/pub/../r/x",
                "/pub/..",
                "/./r/x",
                "/pub/%2e%2e/r/x",
                "/pub/.%2E/r/x",
                "/pub//../r/x",
                "/pub/..;a=b/r/x",
                "/pub/..%3b/r/x",
                "/pub%2fr",
                "/pub%2F..%2Fr",
                "/pub\\..\\r",
                "/pub%5c..%5Cr",
                "/pub/%00",
                "/pub/%0d%0aX:y",
                "/pub/%7f",
                "/pub/%",
                "/pub/%2",
                "/pub/%zz",
                "/pub/#/r",
                "http://a.example/pub/../r",
                "http://u@a.example/x",
                "http:///x",
                "http://:80/x",
                "https://a.example/x",
            )
        val refused =
            badTargets.associateWith { head(it) to 400 } +
                mapOf(
                    "two Authorization" to (head("/x", "Authorization: Token a\r\nauthorization: Token b\r\n") to 400),
                    "two equal Call-Id" to (head("/x", "Call-Id: a\r\nCALL-ID: a\r\n") to 400),
                    "two Content-Type" to (head("/x", "Content-Type: a/b\r\nContent-Type: c/d\r\n") to 400),
                    "a Host with a path" to ("GET /x HTTP/1.1\r\nHost: a.example/r\r\n\r\n" to 400),
                    "a Host with a user" to ("GET /x HTTP/1.1\r\nHost: a.example:80@b\r\n\r\n" to 400),
                    "a Host with half an address" to ("GET /x HTTP/1.1\r\nHost: [::1\r\n\r\n" to 400),
                    "two lengths in HTTP/1.0" to
                        ("POST /x HTTP/1.0\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc" to 400),
                    "TRACE" to (head("/x", method = "TRACE") to 405),
                )
        for ((name, input) in refused) {
            test("guards against running $name") {
                handled.clear()
                val response = send(input.first)
                response shouldContain "HTTP/1.1 ${input.second} "
                response.lowercase() shouldContain "not-run: 1"
                response.lowercase() shouldContain "connection: close"
                response shouldContain "\"ran\":\"no\""
                handled.size shouldBe 0
            }
        }

        val served =
            mapOf(
                "/r//x" to "/r//x",
                "//r/x" to "//r/x",
                "/r/..a/.b/c..d/..." to "/r/..a/.b/c..d/...",
                "/r/%7Ea/%25/%C3%A9;v=1" to "/r/%7Ea/%25/%C3%A9;v=1",
                "/r/x?p=../y&q=%2F%5c%00\\" to "/r/x?p=../y&q=%2F%5c%00\\",
                "http://b.example:80/r/x?y" to "/r/x?y",
                "HTTP://b.example" to "/",
                "http://b.example?y" to "/?y",
                "http://[::1]:8080/r" to "/r",
            )
        for ((target, seen) in served) {
            test("guards against refusing or rewriting the proper target $target") {
                handled.clear()
                send(head(target, "Accept: a/b\r\nAccept: c/d\r\n")) shouldContain "HTTP/1.1 200 "
                handled.single().target shouldBe seen
                val authority = target.substringAfter("://", "a.example/").substringBefore('/').substringBefore('?')
                handled.single().headers.all("Host") shouldBe listOf(authority)
            }
        }

        test("guards against a lenient reading that differs for a plain path, or misses one that differs") {
            fun reading(path: String) = RequestHead("GET", path, Headers.EMPTY).lenientPath
            reading("/r/x.y/") shouldBe "/r/x.y/"
            reading("/%72//x;v=1/%C3%A9/") shouldBe "/r/x/\u00e9/"
            reading("//r") shouldBe "/r"
            reading("/pub/;a/r//") shouldBe "/pub/r/"
        }
    })
