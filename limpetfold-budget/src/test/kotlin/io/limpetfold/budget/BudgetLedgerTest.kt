package io.limpetfold.budget

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.TypedObject
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap

class BudgetLedgerTest :
    FunSpec({
        test("a top-up whose identity was dropped is refused and not applied again") {
            val old = TopUpId("2020-01-01/first")
            var ledger = BudgetLedger().topUp(old, 5).get().shouldNotBeNull()
            repeat(BudgetLedger.MAX_TOP_UPS) { ledger = ledger.topUp(dated(it), 1).get().shouldNotBeNull() }

            ledger.topUps.size shouldBeLessThanOrEqual BudgetLedger.MAX_TOP_UPS
            ledger.topUp(old, 5).getError() shouldBe LedgerRefusal.TopUpTooOld(old, "2020-01-01")
            ledger.paidTokens shouldBe 5L + BudgetLedger.MAX_TOP_UPS
        }

        test(
            "a top-up is refused if its own write would drop its identity, because a retry after a lost response would not be recognised",
        ) {
            var ledger = BudgetLedger()
            repeat(BudgetLedger.MAX_TOP_UPS) {
                ledger =
                    ledger.topUp(TopUpId("2026-01-01/t$it"), 1).get().shouldNotBeNull()
            }

            ledger.topUp(TopUpId("2026-01-01/more"), 1).getError() shouldBe LedgerRefusal.TooManyTopUps("2026-01-01")
        }

        test("a top-up with the identity of an earlier one and another amount is refused") {
            val id = TopUpId("2026-01-01/a")
            BudgetLedger()
                .topUp(id, 5)
                .get()
                ?.topUp(id, 6)
                ?.getError() shouldBe LedgerRefusal.TopUpMismatch(id, 5)
        }

        test("a grant whose response was lost is not granted again") {
            val granted = paid(100).update(A, HolderUpdate(knownSequence = 0)) { 40 }.get().shouldNotBeNull()

            granted.update(A, HolderUpdate(knownSequence = 0)) { 40 }.get() shouldBe granted
            granted.holders.getValue(A.key).grantedTokens shouldBe 40
        }

        test("a transfer total that is recorded by both holders moves the tokens once") {
            val ledger = registered(100, A, B)
            val total = persistentMapOf(B.key to 30L)
            val once = ledger.update(A, HolderUpdate(1, sentTokens = total)).get().shouldNotBeNull()
            val twice =
                once
                    .update(
                        B,
                        HolderUpdate(1, receivedTokens = persistentMapOf(A.key to 30L)),
                    ).get()
                    .shouldNotBeNull()

            twice.holders.mapValues { it.value.grantedTokens } shouldBe mapOf(A.key to 20L, B.key to 80L)
        }

        test(
            "guards against a dropped pair that a close records again because its holder has not seen its own last write",
        ) {
            val sent = HolderUpdate(1, spentTokens = 20, sentTokens = persistentMapOf(B.key to 30L))
            val recorded = registered(150, A, B, C).update(A, sent).get().shouldNotBeNull()
            val received = HolderUpdate(1, receivedTokens = persistentMapOf(A.key to 30L))
            val alone = recorded.close(B, received)
            val dropped =
                alone
                    .update(
                        A,
                        sent.copy(knownSequence = 2, closedPeers = persistentSetOf(B.key)),
                    ).get()
                    .shouldNotBeNull()
            dropped.transfers shouldBe persistentMapOf()
            val closed = dropped.close(A, sent.copy(knownSequence = 2))
            closed.holders.keys shouldBe setOf(C.key)
            closed.freeTokens shouldBe 80
        }

        test("the remainder of a reclaimed holder is not freed until each open holder has confirmed its transfers") {
            val ended = registered(100, A, B).reclaim(A, 10).get().shouldNotBeNull()
            ended.freeTokens shouldBe 0

            val unaware = ended.update(B, HolderUpdate(1, spentTokens = 1)).get().shouldNotBeNull()
            unaware.freeTokens shouldBe 0

            val received = persistentMapOf(A.key to 15L)
            val confirmed =
                unaware
                    .update(
                        B,
                        HolderUpdate(2, receivedTokens = received, confirmedEnds = 1),
                    ).get()
                    .shouldNotBeNull()

            confirmed.holders.keys shouldBe setOf(B.key)
            confirmed.holders.getValue(B.key).grantedTokens shouldBe 65
            confirmed.freeTokens shouldBe 25
        }

        test("a response that arrives after its sender was seen as reclaimed in the ledger is not credited") {
            val ledger = registered(100, A, B)
            val account = LocalAccount(B).observe(ledger, version(1))
            account.receive(A.key, 15).grantedTokens shouldBe 65

            val ended = ledger.reclaim(A, 10).get().shouldNotBeNull()
            account.observe(ended, version(2)).receive(A.key, 15).grantedTokens shouldBe 50
        }

        test("guards against freed tokens when the close of a sender records its transfer to a written-off holder") {
            val ended = registered(100, A, B).reclaim(A, PredecessorSpendLookup.WHOLE_GRANT).get().shouldNotBeNull()
            val closed = ended.close(B, HolderUpdate(1, sentTokens = persistentMapOf(A.key to 15L), confirmedEnds = 1))
            closed.settledTokens shouldBe 65
            closed.freeTokens shouldBe 35
        }

        test(
            "tokens sent to a holder that was reclaimed without a copy of its spend are not freed, also if the transfer is recorded later",
        ) {
            val ended = registered(100, A, B).reclaim(A, PredecessorSpendLookup.WHOLE_GRANT).get().shouldNotBeNull()
            ended.settledTokens shouldBe 50
            ended.balanceFor(B.key).writtenOffTokens shouldBe 50

            val sent = persistentMapOf(A.key to 15L)
            val confirmed =
                ended
                    .update(
                        B,
                        HolderUpdate(1, sentTokens = sent, confirmedEnds = 1),
                    ).get()
                    .shouldNotBeNull()
            confirmed.settledTokens shouldBe 65
            confirmed.balanceFor(B.key).writtenOffTokens shouldBe 65
            confirmed.freeTokens shouldBe 0
            confirmed.holders.keys shouldBe setOf(B.key)
        }

        test("a reclaimed holder gets no more grants") {
            val ended = registered(100, A, B).reclaim(A, 10).get().shouldNotBeNull()
            ended.update(A, HolderUpdate(1)) { 5 }.getError() shouldBe LedgerRefusal.HolderEnded(A.key)
        }

        test("totals of closed peers are dropped, so that the ledger does not grow with each restart") {
            var ledger = registered(10_000, A)
            var account = LocalAccount(A).observe(ledger, version(1))
            repeat(50) { round ->
                val peer = Incarnation(InstanceId("b"), round + 1L)
                ledger = ledger.update(peer, HolderUpdate(0)).get().shouldNotBeNull()
                account = account.send(peer.key, 2)
                ledger =
                    ledger.close(peer, HolderUpdate(1, spentTokens = 1, receivedTokens = persistentMapOf(A.key to 2L)))
                repeat(2) {
                    account = account.observe(ledger, version(account.version.revision + 1)).withWriteStarted()
                    ledger = ledger.update(A, account.update()).get().shouldNotBeNull()
                }
                account = account.observe(ledger, version(account.version.revision + 1))
            }

            ledger.transfers.size shouldBe 0
            account.sentTokens.size shouldBe 0
            ledger.settledTokens shouldBe 50
            ledger.holders.getValue(A.key).grantedTokens shouldBe account.grantedTokens
        }

        test("the largest ledger stays below the platform's limit of 1 MB") {
            val keys =
                (1..BudgetLedger.MAX_HOLDERS).map {
                    Incarnation(
                        InstanceId("router-kr-central-$it"),
                        Long.MAX_VALUE - it,
                    ).key
                }
            val large = 1_000_000_000_000_000
            val full =
                BudgetLedger(
                    paidTokens = large,
                    holders =
                        keys
                            .associateWith {
                                HolderEntry(
                                    large,
                                    large,
                                    large,
                                    large,
                                    large,
                                    large,
                                    isWrittenOff = true,
                                    returnedTokens = large,
                                )
                            }.toPersistentMap(),
                    transfers =
                        keys
                            .flatMapIndexed { i, sender ->
                                (1..LocalAccount.MAX_RECEIVERS).map {
                                    BudgetLedger.pairKey(
                                        sender,
                                        keys[
                                            (i + it) %
                                                keys.size,
                                        ],
                                    ) to
                                        large
                                }
                            }.toMap()
                            .toPersistentMap(),
                    topUps =
                        (1..BudgetLedger.MAX_TOP_UPS)
                            .associate {
                                "2026-01-01/${"x".repeat(
                                    59,
                                )}$it" to large
                            }.toPersistentMap(),
                )
            val size = TypedObject.JSON.encodeToString(BudgetLedger.serializer(), full).length
            println("largest ledger: $size bytes")
            size shouldBeLessThan 1_000_000
        }
    })

private val A = Incarnation(InstanceId("a"), 1)
private val B = Incarnation(InstanceId("b"), 1)
private val C = Incarnation(InstanceId("c"), 1)

private fun dated(number: Int) =
    TopUpId("2026-${"%02d".format(number / 28 % 12 + 1)}-${"%02d".format(number % 28 + 1)}/t$number")

private fun version(number: Long) = ObjectVersion.of(number)

private fun paid(tokens: Long) = BudgetLedger().topUp(TopUpId("2026-01-01/a"), tokens).get().shouldNotBeNull()

/** A ledger of [tokens] that are granted in equal parts to [holders]. */
private fun registered(
    tokens: Long,
    vararg holders: Incarnation,
): BudgetLedger =
    holders.fold(paid(tokens)) { ledger, holder ->
        ledger.update(holder, HolderUpdate(0)) { tokens / holders.size }.get().shouldNotBeNull()
    }
