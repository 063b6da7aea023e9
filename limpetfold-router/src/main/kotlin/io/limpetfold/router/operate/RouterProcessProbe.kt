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
 * Tells whether a router's process is known to have ended, because its listed peer address refuses a connection.
 *
 * A router binds that address before it opens its first request and closes it after its last bill. Only a refusal is a proof: a paused
 * process still accepts, and no answer may be a partition.
 */
internal class RouterProcessProbe(
    private val membership: Membership,
) {
    suspend fun hasEnded(instance: InstanceId): Boolean {
        val listed = membership.endpoints(ListedInstance.ROUTER_SERVICE).firstOrNull { it.instance == instance } ?: return false
        return withContext(Dispatchers.IO) {
            try {
                Socket().use { it.connect(InetSocketAddress(listed.host, listed.port), TIMEOUT_MILLIS) }
                false
            } catch (e: ConnectException) {
                // The same exception type stands for other failures, which the message tells apart.
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
