package io.limpetfold.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.time.Duration

class ObjectFeedTest :
    FunSpec({
        fun page(position: Long) = ObjectPage(persistentListOf(), ObjectVersion.of(position))

        /**
         * Runs a feed against the scripted [responses] and returns the recorded calls and failures after the last one.
         */
        suspend fun follow(vararg responses: (call: String) -> Result<ObjectPage, StoreError>): RecordingListener {
            val recorded = RecordingListener()
            val store = ScriptedStore(responses.toList(), recorded)
            coroutineScope {
                val feed =
                    launch {
                        ObjectFeed(
                            store,
                            "servers/",
                            recorded,
                            { FeedPolicy(backoffMin = Duration.ofMillis(4)) },
                        ).run()
                    }
                store.awaitEnd()
                feed.cancel()
            }
            return recorded
        }

        test("guards against a watch that continues from a position whose history the store no longer has") {
            val recorded =
                follow(
                    { Ok(page(5)) },
                    { Err(StoreError.HistoryExpired) },
                    { Ok(page(40)) },
                    { Ok(page(41)) },
                )
            recorded.calls shouldBe listOf("list", "watch 5", "list", "watch 40", "watch 41")
            recorded.failures shouldBe 0
        }

        test("guards against a new list after each failed call, and against a position that is lost in an outage") {
            val recorded =
                follow(
                    { Err(StoreError.Unavailable("down")) },
                    { Ok(page(5)) },
                    { Err(StoreError.Unavailable("down")) },
                    { Err(StoreError.RateLimited(Duration.ofSeconds(1))) },
                    { Ok(page(3)) },
                )
            recorded.calls shouldBe listOf("list", "list", "watch 5", "watch 5", "watch 5", "watch 5")
            recorded.failures shouldBe 3
        }

        test("guards against a feed that ends because its listener fails on one page") {
            val recorded = RecordingListener(failingAt = ObjectVersion.of(6))
            val store = ScriptedStore(listOf({ Ok(page(5)) }, { Ok(page(6)) }, { Ok(page(7)) }), recorded)
            coroutineScope {
                val policy = FeedPolicy(backoffMin = Duration.ofMillis(4))
                val feed = launch { ObjectFeed(store, "servers/", recorded, { policy }).run() }
                withTimeout(10_000) { store.awaitEnd() }
                feed.cancel()
            }
            recorded.calls shouldBe listOf("list", "watch 5", "watch 6", "watch 7")
            recorded.failures shouldBe 1
        }

        test("guards against changes that stay unseen because a watch gets no response") {
            val responses = listOf<(String) -> Result<ObjectPage, StoreError>>({ Ok(page(5)) })
            val recorded = RecordingListener()
            val policy =
                FeedPolicy(
                    watchWait = Duration.ofMillis(4),
                    responseMargin = Duration.ofMillis(4),
                    backoffMin = Duration.ofMillis(4),
                )
            coroutineScope {
                val feed =
                    launch {
                        ObjectFeed(ScriptedStore(responses, recorded), "rollouts/", recorded, { policy }).run()
                    }
                withTimeout(10_000) {
                    while (recorded.calls.size < 3) delay(1)
                }
                feed.cancel()
            }
            recorded.calls.take(3) shouldBe listOf("list", "watch 5", "watch 5")
        }

        test("guards against a busy event loop when the store returns watches without waiting") {
            val responses = Array<(String) -> Result<ObjectPage, StoreError>>(10_000) { { Ok(page(1)) } }
            val recorded = RecordingListener()
            coroutineScope {
                val feed =
                    launch { ObjectFeed(ScriptedStore(responses.toList(), recorded), "servers/", recorded).run() }
                delay(300)
                feed.cancel()
            }
            recorded.calls.size shouldBeLessThanOrEqual 40
        }

        test("guards against a tight loop when the store has no history for any position") {
            val responses =
                List<(String) -> Result<ObjectPage, StoreError>>(10_000) { number ->
                    { if (number % 2 == 0) Ok(page(5)) else Err(StoreError.HistoryExpired) }
                }
            val recorded = RecordingListener()
            coroutineScope {
                val feed = launch { ObjectFeed(ScriptedStore(responses, recorded), "servers/", recorded).run() }
                delay(300)
                feed.cancel()
            }
            recorded.calls.size shouldBeLessThanOrEqual 16
            recorded.failures shouldBe 0
        }

        test("guards against a page of another era that is taken as a continuation, or as the list of a later one") {
            fun laterPage(position: Long) = ObjectPage(persistentListOf(), ObjectVersion.of(position, era = 1))
            val recorded =
                follow(
                    { Ok(page(50)) },
                    { Ok(laterPage(60)) },
                    { Ok(laterPage(20)) },
                    { Err(StoreError.HistoryExpired) },
                    { Ok(page(70)) },
                    { Ok(laterPage(21)) },
                )
            recorded.calls shouldBe listOf("list", "watch 50", "list", "watch 1:20", "list", "list", "watch 1:21")
            recorded.failures shouldBe 1
        }

        test("guards against one watch call per change in each router when there are many changes") {
            val changed =
                ObjectPage(
                    persistentListOf(StoredObject(ObjectKey("servers/a"), ObjectVersion.of(2), "{}")),
                    ObjectVersion.of(2),
                )
            val responses = Array<(String) -> Result<ObjectPage, StoreError>>(10_000) { { Ok(changed) } }
            val recorded = RecordingListener()
            val policy = FeedPolicy(pauseAfterChange = Duration.ofMillis(100))
            coroutineScope {
                val feed =
                    launch {
                        ObjectFeed(
                            ScriptedStore(responses.toList(), recorded),
                            "servers/",
                            recorded,
                            { policy },
                        ).run()
                    }
                delay(350)
                feed.cancel()
            }
            recorded.calls.size shouldBeLessThanOrEqual 6
        }
    }) {
    private class RecordingListener(
        private val failingAt: ObjectVersion? = null,
    ) : FeedListener {
        val calls = mutableListOf<String>()
        var failures = 0

        override fun onListed(page: ObjectPage) = Unit

        override fun onChanged(page: ObjectPage) = check(page.position != failingAt) { "the page can't be applied" }

        override fun onFailed(error: StoreError) {
            failures++
        }
    }

    private class ScriptedStore(
        private val responses: List<(String) -> Result<ObjectPage, StoreError>>,
        private val recorded: RecordingListener,
    ) : ObjectStore {
        private var next = 0

        suspend fun awaitEnd() {
            while (recorded.calls.size <= responses.size) delay(1)
        }

        override suspend fun list(prefix: String) = respond("list")

        override suspend fun watch(
            prefix: String,
            after: ObjectVersion,
            wait: Duration,
        ) = respond("watch $after")

        override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> =
            error("unexpected get: a feed reads no single object")

        override suspend fun put(
            key: ObjectKey,
            value: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> = error("unexpected put: a feed writes nothing")

        private suspend fun respond(call: String): Result<ObjectPage, StoreError> {
            recorded.calls += call
            return responses.getOrNull(next++)?.invoke(call) ?: awaitCancellation()
        }
    }
}
