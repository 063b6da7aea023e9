package io.limpetfold.publish

import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.platform.HttpInstanceDirectory
import io.limpetfold.platform.HttpObjectStore
import io.limpetfold.platform.PlatformSettings
import io.limpetfold.store.EraCheckedStore

/** Connects to the platform over HTTP. */
internal object HttpPlatform {
    fun connect(settings: PublishSettings): Platform {
        val (host, port) = settings.platform.split(':')
        val loops = HttpEventLoops(threads = 1)
        val client = UpstreamClient(UpstreamSettings(), loops, BufferBudget())
        val target = PlatformSettings(HostPort(host, port.toInt()), settings.callTimeout)
        return Platform(EraCheckedStore(HttpObjectStore(client, target)), HttpInstanceDirectory(client, target)) {
            client.close()
            loops.close()
        }
    }
}
