package io.limpetfold.measure.demo

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/**
 * Sends requests with the JDK's HTTP client.
 *
 * The JDK's client shares no code with the fleet's HTTP modules, so a bug in those modules can't hide from the checks.
 */
internal class JdkHttp {
    private val client: HttpClient =
        HttpClient
            .newBuilder()
            .version(
                HttpClient.Version.HTTP_1_1,
            ).connectTimeout(TIMEOUT)
            .build()

    fun get(
        url: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> = send(HttpRequest.newBuilder(URI(url)).GET(), headers)

    fun post(
        url: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> =
        send(HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.ofString(body)), headers)

    private fun send(
        builder: HttpRequest.Builder,
        headers: Array<out Pair<String, String>>,
    ): HttpResponse<String> {
        builder.timeout(TIMEOUT).header("Content-Type", "application/json")
        headers.forEach { (name, value) -> builder.header(name, value) }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString())
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(30)
    }
}
