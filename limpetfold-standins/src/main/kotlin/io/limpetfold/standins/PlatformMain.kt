package io.limpetfold.standins

import com.github.ajalt.clikt.core.main
import io.limpetfold.http.HttpHandler

/** Starts the platform stand-in. */
object PlatformMain {
    @JvmStatic
    fun main(args: Array<String>) =
        object : StandinCommand<PlatformStandinSettings>("platform-standin", PlatformStandinSettings.serializer()) {
            override fun handler(settings: PlatformStandinSettings): HttpHandler = PlatformStandin(settings)
        }.main(args)
}
