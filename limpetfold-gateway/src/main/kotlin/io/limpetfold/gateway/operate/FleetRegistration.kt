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

/** Registers this router in the instance list in the store, and connects it to the other routers. */
internal class FleetRegistration(
    private val settings: GatewaySettings,
    private val instances: StoreInstanceDirectory,
    private val membership: Membership,
    private val peers: KtorPeerNetwork,
    private val random: Random,
    private val log: DecisionLog,
) {
    private var renewals = 0

    /** Sets the seed addresses of the settings, which membership uses until it has read the instance list. */
    fun setSeedRouters() =
        membership.setSeedRouters(
            settings.seedHosts.filter { it != settings.instance.value }.map {
                listedInstance(InstanceId(it), it, SEED_VERSION, linkCapacityMbps = 0.0)
            },
        )

    /** Connects to the routers that membership selects. */
    fun connect() = peers.setPeers(membership.connectionTargets().map { PeerAddress(it.instance, it.host, it.port) })

    /** Whether [Membership.routerCount] includes the routers that started at the same time as this one. */
    var isRouterCountKnown = false
        private set

    /**
     * Writes the entry of this router, with retries until that succeeds, and then reads the entries of routers that
     * started at the same time.
     */
    suspend fun register() {
        val own = ownEntry()
        while (true) {
            val failure = instances.register(own).fold({ null }, { it.toString() }) ?: break
            log.warn("router.not_listed", "reason" to failure)
            delay(random.nextLong(RETRY_DELAY_MIN.toMillis(), RETRY_DELAY_MAX.toMillis()))
        }
        delay(REGISTRATION_WAIT.toMillis())
        membership.requestDirectoryRefresh()
        delay(DIRECTORY_READ_WAIT.toMillis())
        isRouterCountKnown = true
    }

    /**
     * Writes the entry of this router again if a restored store lacks it, at a random time, because all routers do so
     * after a restore; then reads the entries of the others.
     */
    suspend fun renew() {
        val renewal = ++renewals
        val spread = RENEWAL_SPREAD_PER_ROUTER.multipliedBy(membership.routerCount.toLong()) + RENEWAL_SPREAD_MIN
        delay(random.nextLong(spread.toMillis()))
        val own = ownEntry()
        // A later restore starts a renewal of its own.
        while (renewal == renewals) {
            val failure = instances.renew(own).fold({ null }, { it.toString() }) ?: break
            log.warn("router.not_listed", "reason" to failure)
            delay(random.nextLong(RETRY_DELAY_MIN.toMillis(), RETRY_DELAY_MAX.toMillis()))
        }
        membership.requestDirectoryRefresh()
    }

    private fun ownEntry() =
        listedInstance(settings.instance, settings.peerListenAddress.host, OWN_VERSION, settings.linkCapacityMbps)

    private fun listedInstance(
        instance: InstanceId,
        host: String,
        version: VersionId,
        linkCapacityMbps: Double,
    ) = ListedInstance(
        instance,
        ListedInstance.ROUTER_SERVICE,
        version,
        settings.zone,
        host,
        settings.peerListenAddress.port,
        linkCapacityMbps = linkCapacityMbps,
    )

    private companion object {
        val SEED_VERSION = VersionId("seed")
        val OWN_VERSION = VersionId("1")

        /** Time within which routers that start at the same time have registered. */
        val REGISTRATION_WAIT: Duration = Duration.ofSeconds(2)

        /** Time within which membership reads the list after a refresh was requested. */
        val DIRECTORY_READ_WAIT: Duration = Duration.ofSeconds(1)

        /** With it a hundred routers read and write 40 times a second, a small part of the store's rates. */
        val RENEWAL_SPREAD_PER_ROUTER: Duration = Duration.ofMillis(50)
        val RENEWAL_SPREAD_MIN: Duration = Duration.ofMillis(500)
        val RETRY_DELAY_MIN: Duration = Duration.ofMillis(500)
        val RETRY_DELAY_MAX: Duration = Duration.ofSeconds(2)
    }
}
