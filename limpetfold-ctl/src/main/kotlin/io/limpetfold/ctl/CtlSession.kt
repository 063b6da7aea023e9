package io.limpetfold.ctl

import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.platform.HttpInstanceDirectory
import io.limpetfold.platform.HttpObjectStore
import io.limpetfold.platform.PlatformSettings
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectStore
import java.time.InstantSource

/** The settings and connections that a command uses; [onClose] releases the connections. */
internal class CtlSession(
    val settings: CtlSettings,
    val store: ObjectStore,
    val directory: InstanceDirectory,
    val routers: RouterClient,
    val clock: InstantSource = InstantSource.system(),
    private val onClose: () -> Unit = {},
) : AutoCloseable {
    override fun close() = onClose()

    companion object {
        /** Opens a session with the platform and the routers of [settings]. */
        fun connect(settings: CtlSettings): CtlSession {
            val loops = HttpEventLoops(threads = 1)
            val client = UpstreamClient(UpstreamSettings(), loops, BufferBudget())
            val platform = PlatformSettings(address(settings.platform))
            return CtlSession(
                settings,
                EraCheckedStore(HttpObjectStore(client, platform)),
                HttpInstanceDirectory(client, platform),
                RouterClient(client, settings.routers.map(::address), settings.operatorsKey),
            ) {
                client.close()
                loops.close()
            }
        }

        private fun address(text: String) =
            HostPort(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
    }
}
