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
import java.time.Duration

class ObjectFeedTest :
    FunSpec({
        fun page(position: Long) = ObjectPage(persistentListOf(), ObjectVersion(position))

        /** Runs a feed against [answers], in turn, and returns what it learned after the last one. */
        suspend fun follow(vararg answers: (call: String) -> Result<ObjectPage, StoreError>): Recorded {
            val recorded = Recorded()
            val store = ScriptedStore(answers.toList(), recorded)
            coroutineScope {
                val feed = launch { ObjectFeed(store, "servers/", recorded, { FeedPolicy(backoffMin = Duration.ofMillis(4)) }).run() }
                store.awaitEnd()
                feed.cancel()
            }
            return recorded
        }

        test("guards against a watch that goes on from a position whose history is gone") {
            val recorded =
                follow(
                    { Ok(page(5)) },
                    { Err(StoreError.HistoryGone) },
                    { Ok(page(40)) },
                    { Ok(page(41)) },
                )
            recorded.calls shouldBe listOf("list", "watch 5", "list", "watch 40", "watch 41")
            recorded.failures shouldBe 0
        }

        test("guards against a list for each failed call, and against a position that is lost in an outage") {
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

        test("guards against a store that does not wait and keeps the event loop busy") {
            val answers = Array<(String) -> Result<ObjectPage, StoreError>>(10_000) { { Ok(page(1)) } }
            val recorded = Recorded()
            coroutineScope {
                val feed = launch { ObjectFeed(ScriptedStore(answers.toList(), recorded), "servers/", recorded).run() }
                delay(300)
                feed.cancel()
            }
            recorded.calls.size shouldBeLessThanOrEqual 40
        }

        test("guards against a watch call of each of many routers for each of many changes") {
            val changed = ObjectPage(persistentListOf(StoredObject(ObjectKey("servers/a"), ObjectVersion(2), "{}")), ObjectVersion(2))
            val answers = Array<(String) -> Result<ObjectPage, StoreError>>(10_000) { { Ok(changed) } }
            val recorded = Recorded()
            val policy = FeedPolicy(pauseAfterChange = Duration.ofMillis(100))
            coroutineScope {
                val feed = launch { ObjectFeed(ScriptedStore(answers.toList(), recorded), "servers/", recorded, { policy }).run() }
                delay(350)
                feed.cancel()
            }
            recorded.calls.size shouldBeLessThanOrEqual 6
        }
    }) {
    private class Recorded : FeedListener {
        val calls = mutableListOf<String>()
        var failures = 0

        override fun onListed(page: ObjectPage) = Unit

        override fun onChanged(page: ObjectPage) = Unit

        override fun onFailed(error: StoreError) {
            failures++
        }
    }

    private class ScriptedStore(
        private val answers: List<(String) -> Result<ObjectPage, StoreError>>,
        private val recorded: Recorded,
    ) : ObjectStore {
        private var next = 0

        suspend fun awaitEnd() {
            while (recorded.calls.size <= answers.size) delay(1)
        }

        override suspend fun list(prefix: String) = answer("list")

        override suspend fun watch(
            prefix: String,
            after: ObjectVersion,
            wait: Duration,
        ) = answer("watch $after")

        override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> = error("a feed reads no single object")

        override suspend fun put(
            key: ObjectKey,
            value: String,
            expected: ObjectVersion,
        ): Result<ObjectVersion, StoreError> = error("a feed writes nothing")

        private suspend fun answer(call: String): Result<ObjectPage, StoreError> {
            recorded.calls += call
            return answers.getOrNull(next++)?.invoke(call) ?: awaitCancellation()
        }
    }
}
