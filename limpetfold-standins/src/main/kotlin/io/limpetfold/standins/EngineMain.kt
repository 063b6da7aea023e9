package io.limpetfold.standins

import com.github.ajalt.clikt.core.main
import io.limpetfold.http.HttpHandler

/** Starts the engine stand-in. */
object EngineMain {
    @JvmStatic
    fun main(args: Array<String>) =
        object : StandinCommand<EngineStandinSettings>("engine-standin", EngineStandinSettings.serializer()) {
            override fun handler(settings: EngineStandinSettings): HttpHandler = EngineStandin(settings)
        }.main(args)
}
