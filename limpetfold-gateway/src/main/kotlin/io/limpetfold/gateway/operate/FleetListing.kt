package io.limpetfold.gateway.operate

import com.github.michaelbull.result.fold
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.gateway.GatewaySettings
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Membership
import io.limpetfold.peer.ListedInstance
import io.limpetfold.peer.ktor.KtorPeerNetwork
import io.limpetfold.peer.ktor.PeerAddress
import kotlinx.coroutines.delay
import java.time.Duration
import kotlin.random.Random

/** Lists this router in the store, and connects it to the routers that the store or the settings name. */
internal class FleetListing(
    private val settings: GatewaySettings,
    private val instances: StoreInstanceDirectory,
    private val membership: Membership,
    private val peers: KtorPeerNetwork,
    private val random: Random,
    private val log: DecisionLog,
) {
    /** Takes the settings' addresses until a list was read. */
    fun seed() =
        membership.seed(
            settings.seedHosts.filter { it != settings.instance.value }.map { listed(InstanceId(it), it, SEED_VERSION) },
        )

    /** Connects to the routers that membership chooses. */
    fun connect() = peers.setPeers(membership.connectionTargets().map { PeerAddress(it.instance, it.host, it.port) })

    /** Whether the routers that started together with this one are counted in [Membership.routerCount]. */
    var isSettled = false
        private set

    /** Writes the entry of this router, again and again until the store has it, and then reads those of the routers that started with it. */
    suspend fun register() {
        val own = listed(settings.instance, settings.peerListenAddress.host, OWN_VERSION)
        while (true) {
            val failure = instances.register(own).fold({ null }, { it.toString() }) ?: break
            log.warn("router.not_listed", "reason" to failure)
            delay(random.nextLong(RETRY_MIN.toMillis(), RETRY_MAX.toMillis()))
        }
        delay(SETTLE.toMillis())
        membership.requestDirectoryRefresh()
        delay(READ_WAIT.toMillis())
        isSettled = true
    }

    private fun listed(
        instance: InstanceId,
        host: String,
        version: VersionId,
    ) = ListedInstance(instance, ListedInstance.ROUTER_SERVICE, version, settings.zone, host, settings.peerListenAddress.port)

    private companion object {
        val SEED_VERSION = VersionId("seed")
        val OWN_VERSION = VersionId("1")

        /** Routers that start together list themselves within this time. */
        val SETTLE: Duration = Duration.ofSeconds(2)

        /** Membership reads the list within this time after it was told to. */
        val READ_WAIT: Duration = Duration.ofSeconds(1)
        val RETRY_MIN: Duration = Duration.ofMillis(500)
        val RETRY_MAX: Duration = Duration.ofSeconds(2)
    }
}
