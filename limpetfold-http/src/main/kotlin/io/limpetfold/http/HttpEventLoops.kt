package io.limpetfold.http

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.TimeUnit

/** The NIO threads that servers and clients of a process share; closed after all of them. */
class HttpEventLoops(
    threads: Int = Runtime.getRuntime().availableProcessors(),
) : AutoCloseable {
    internal val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory("http", true), NioIoHandler.newFactory())

    /** Runs coroutines on one of the threads; with a single thread, handlers and connections never run at the same time. */
    val dispatcher: CoroutineDispatcher by lazy { group.next().asCoroutineDispatcher() }

    /** Stops the threads and waits up to 5 s for them. */
    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(CLOSE_WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val CLOSE_WAIT_SECONDS = 5L
    }
}
