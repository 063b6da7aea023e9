package io.limpetfold.http

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit

/** The NIO threads that servers and clients of a process share; closed after all of them. */
class HttpEventLoops(
    threads: Int = Runtime.getRuntime().availableProcessors(),
) : AutoCloseable {
    internal val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory("http", true), NioIoHandler.newFactory())

    /** Stops the threads and waits up to 5 s for them. */
    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(CLOSE_WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val CLOSE_WAIT_SECONDS = 5L
    }
}
