package io.limpetfold.standins

import com.github.ajalt.clikt.core.main
import io.limpetfold.http.HttpHandler

/** Starts the plain service stand-in. */
object PlainServiceMain {
    @JvmStatic
    fun main(args: Array<String>) =
        object : StandinCommand<PlainServiceSettings>("plain-service-standin", PlainServiceSettings.serializer()) {
            override fun handler(settings: PlainServiceSettings): HttpHandler = PlainServiceStandin(settings)
        }.main(args)
}
