package io.limpetfold.http

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.TimeUnit

/** The Netty event loops that the servers and clients of a process share; close them after all of these. */
class HttpEventLoops(
    threads: Int = Runtime.getRuntime().availableProcessors(),
) : AutoCloseable {
    internal val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory("http", true), NioIoHandler.newFactory())

    /**
     * Runs coroutines on one of the event loops; with a single thread, handlers and connections never run concurrently.
     */
    val dispatcher: CoroutineDispatcher by lazy { group.next().asCoroutineDispatcher() }

    /** Stops the event loops and waits up to 5 s for their threads to end. */
    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(CLOSE_WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val CLOSE_WAIT_SECONDS = 5L
    }
}
