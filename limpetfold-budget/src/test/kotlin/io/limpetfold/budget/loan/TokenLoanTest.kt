package io.limpetfold.budget.loan

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.core.InstanceId
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreFault
import java.time.Duration
import kotlin.random.Random

/** Load pattern: the calls of each workspace come through all of many routers, a few at a time at each. */
class TokenLoanTest :
    FunSpec({
        test("guards against a ledger with an entry, and a start with a write, for each of many routers") {
            val fleet = LoanFleet(routerCount = 80)
            fleet.routers.forEach { it.borrower.openAccount(LoanFleet.WORKSPACE) shouldBe true }
            repeat(200) { fleet.call(fleet.routers[it % 80]).get().shouldNotBeNull() }
            fleet.ledger().holders.size shouldBeLessThanOrEqual 2
            fleet.storeWrites() shouldBeLessThanOrEqual 12
        }

        test("guards against calls refused in a cut from the store although the lender has tokens") {
            val fleet = LoanFleet(routerCount = 20)
            repeat(200) {
                fleet.call(fleet.routers[it % 20]).get().shouldNotBeNull()
                fleet.advance(Duration.ofMillis(100))
            }
            fleet.storeFault = StoreFault.UNAVAILABLE
            repeat(70) {
                fleet.call(fleet.routers[it % 20]).get().shouldNotBeNull()
                fleet.advance(Duration.ofMillis(100))
            }
        }

        test("guards against tokens that stay with idle borrowers") {
            val fleet = LoanFleet(routerCount = 20)
            repeat(40) { fleet.call(fleet.routers[it % 20]).get().shouldNotBeNull() }
            repeat(3) { fleet.advance(Duration.ofSeconds(3)) }
            fleet.routers.forEach { it.agent.close() }
            fleet.ledger().settledTokens shouldBe 40 * LoanFleet.USED_TOKENS
            fleet.ledger().freeTokens shouldBe LoanFleet.PAID - 40 * LoanFleet.USED_TOKENS
        }

        test("guards against a rest of a loan that stays out when a busy borrower has gone on to another lender") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.hub.fault = { from, to -> if (from == borrower.self.instance && to == LoanFleet.LENDERS[0]) PeerFault.REQUEST_LOST else PeerFault.NONE }
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.advance(Duration.ofMillis(500))

            val lender = fleet.routers.first().agent.accounts().single()
            lender.reservedTokens shouldBe 0
            lender.spentTokens shouldBe LoanFleet.USED_TOKENS
        }

        test("guards against memory that is kept for each workspace that was ever served") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.advance(Duration.ofSeconds(3))
            borrower.borrower.workspaceCount shouldBe 1
            fleet.advance(Duration.ofSeconds(61))
            borrower.borrower.workspaceCount shouldBe 0
            fleet.call(borrower).get().shouldNotBeNull()
        }

        test("guards against a lost answer that hides a loan from its borrower or doubles it") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.hub.fault = { from, _ -> if (from == borrower.self.instance) PeerFault.REPLY_LOST else PeerFault.NONE }
            borrower.borrower.reserve(LoanFleet.WORKSPACE, LoanFleet.REQUEST, 900_000, Duration.ZERO).getError().shouldNotBeNull()
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.advance(Duration.ofMillis(300))
            val reservation = borrower.borrower.reserve(LoanFleet.WORKSPACE, LoanFleet.REQUEST, 900_000, Duration.ZERO).get().shouldNotBeNull()
            borrower.borrower.settle(reservation, 900_000)
            fleet.call(borrower, tokens = 200_000).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
        }

        test("guards against calls of a large workspace refused for want of tokens while a good part of its budget lies at other routers") {
            for (seed in 1..5) {
                val fleet = LoanFleet(routerCount = 78, seed, neighbours = 24)
                val random = Random(seed)
                fleet.routers.forEach { it.borrower.openAccount(LoanFleet.WORKSPACE) }
                val running = ArrayDeque<Pair<LoanFleet.Router, TokenReservation>>()
                var servedTokens = 0L
                // 110 calls a second that last 0.3 s each, for eight seconds; the budget lasts for five.
                repeat(80) { tick ->
                    repeat(11) {
                        val router = fleet.routers.random(random)
                        router.borrower.reserve(LoanFleet.WORKSPACE, LoanFleet.REQUEST, 2_000, Duration.ZERO).get()?.let { running += router to it }
                    }
                    while (running.size > 33) {
                        val (router, reservation) = running.removeFirst()
                        router.borrower.settle(reservation, 1_800)
                        servedTokens += 1_800
                    }
                    fleet.clock.advance(Duration.ofMillis(100))
                    if (tick % 5 == 0) fleet.advance(Duration.ZERO)
                }
                withClue(seed) { servedTokens shouldBeGreaterThan LoanFleet.PAID * 85 / 100 }
            }
        }

        test("guards against a router that serves nothing when its lenders are gone") {
            val fleet = LoanFleet(routerCount = 20)
            fleet.call(fleet.routers.last()).get().shouldNotBeNull()
            fleet.hub.fault = { from, _ -> if (from == fleet.routers.last().self.instance) PeerFault.REQUEST_LOST else PeerFault.NONE }
            fleet.call(fleet.routers.last(), tokens = 100_000).get().shouldNotBeNull().shouldBeInstanceOf<TokenReservation.Own>()
        }

        test("guards against a question to lenders for each refused call, of a spent budget and while lenders don't answer") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower, tokens = 2_000_000).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            val before = fleet.messages
            repeat(20) { fleet.call(borrower, tokens = 2_000_000L + it).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>() }
            fleet.messages shouldBe before
            fleet.call(borrower).get().shouldNotBeNull()

            fleet.storeFault = StoreFault.UNAVAILABLE
            fleet.hub.fault = { from, _ -> if (from == borrower.self.instance) PeerFault.REQUEST_LOST else PeerFault.NONE }
            fleet.call(borrower, tokens = 500_000).getError().shouldNotBeNull()
            val silent = fleet.messages
            repeat(20) { fleet.call(borrower, tokens = 500_000L + it).getError().shouldNotBeNull() }
            fleet.messages shouldBe silent
        }

        test("guards against a budget that is spent twice when lenders and borrowers are killed and messages get lost") {
            for (seed in 1..30) {
                val fleet = LoanFleet(routerCount = 20, seed = seed)
                val random = Random(seed)
                var usedTokens = 0L
                repeat(400) {
                    usedTokens += fleet.randomCall(random)
                    if (random.nextInt(12) == 0) fleet.restart(random.nextInt(20))
                    if (random.nextInt(8) == 0) fleet.hub.fault = fleet.randomFault(random)
                    if (random.nextInt(4) == 0) fleet.advance(Duration.ofMillis(random.nextLong(2_000)))
                }
                withClue(seed) { usedTokens shouldBeLessThanOrEqual LoanFleet.PAID }
                withClue(seed) { usedTokens shouldBeGreaterThan 0 }
                withClue(seed) { fleet.ledger().freeTokens shouldBeLessThanOrEqual LoanFleet.PAID - usedTokens }
            }
        }

        test("guards against borrowers of the wrong process, and loans that come back under an old number") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower).get().shouldNotBeNull()
            val lender = LoanFleet.LENDERS.first()
            val network = fleet.hub.join(borrower.self)
            val old = LoanRequest(LoanFleet.WORKSPACE, borrower.self, 0, 1_000, 1_000, 0, 0, 0, 0)
            network.ask(lender, LOAN_TOPIC, old, Duration.ZERO).get().shouldNotBeNull().outcome shouldBe LoanOutcome.UNKNOWN_LOAN
            val foreign = old.copy(borrower = fleet.routers.first().self.copy(instance = InstanceId("router-3")), number = 9)
            network.ask(lender, LOAN_TOPIC, foreign, Duration.ZERO).get().shouldNotBeNull().outcome shouldBe LoanOutcome.UNKNOWN_LOAN
            val unknown = old.copy(number = 9, spentTokens = 500)
            network.ask(lender, LOAN_TOPIC, unknown, Duration.ZERO).get().shouldNotBeNull().outcome shouldBe LoanOutcome.UNKNOWN_LOAN
        }
    })
