package io.limpetfold.router.operate

import io.limpetfold.core.InstanceId
import io.limpetfold.membership.Membership
import io.limpetfold.peer.ListedInstance
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * Checks whether the process of a router is known to have ended, which is the case when its listed peer address refuses
 * connections.
 *
 * A router binds that address before it opens its first request and closes it after its last bill. Only a refused
 * connection proves the end: a paused process still accepts connections, and a timeout may be caused by a network
 * partition.
 */
internal class RouterProcessProbe(
    private val membership: Membership,
) {
    suspend fun hasEnded(instance: InstanceId): Boolean {
        val listed =
            membership.endpoints(ListedInstance.ROUTER_SERVICE).firstOrNull { it.instance == instance } ?: return false
        return withContext(Dispatchers.IO) {
            try {
                Socket().use { it.connect(InetSocketAddress(listed.host, listed.port), TIMEOUT_MILLIS) }
                false
            } catch (e: ConnectException) {
                // ConnectException is also thrown for other failures, which only its message distinguishes.
                e.message.orEmpty().contains("refused", ignoreCase = true)
            } catch (_: IOException) {
                false
            }
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 300
    }
}
