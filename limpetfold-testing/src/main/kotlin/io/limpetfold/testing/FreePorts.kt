package io.limpetfold.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Ports for processes that bind them later.
 *
 * They lie below the range from which the system assigns ports, so that no outgoing connection and no listener on port 0
 * takes one in the meantime.
 */
object FreePorts {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000

    /** A port that is free on all [hosts]. */
    fun next(
        hosts: List<String> = listOf("127.0.0.1"),
        random: Random = Random.Default,
    ): Int = generateSequence { random.nextInt(FIRST_PORT, LAST_PORT) }.first { port -> hosts.all { isFree(it, port) } }

    /** [count] different ports that are free on all [hosts]. */
    fun list(
        count: Int,
        hosts: List<String> = listOf("127.0.0.1"),
        random: Random = Random.Default,
    ): List<Int> =
        generateSequence { next(hosts, random) }
            .distinct()
            .take(count)
            .toList()

    private fun isFree(
        host: String,
        port: Int,
    ): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getByName(host)).close()
            true
        } catch (_: IOException) {
            false
        }
}
