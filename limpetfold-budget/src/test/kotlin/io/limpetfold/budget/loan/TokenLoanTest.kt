package io.limpetfold.budget.loan

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
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

/** Load pattern: the calls of each workspace are spread over many routers, with few calls at each. */
class TokenLoanTest :
    FunSpec({
        test("guards against a ledger that gets an entry, and a write at the start, for each of many routers") {
            val fleet = LoanFleet(routerCount = 80)
            fleet.routers.forEach { it.borrower.openAccount(LoanFleet.WORKSPACE) shouldBe true }
            repeat(200) { fleet.call(fleet.routers[it % 80]).get().shouldNotBeNull() }
            fleet.ledger().holders.size shouldBeLessThanOrEqual 2
            fleet.storeWrites() shouldBeLessThanOrEqual 12
        }

        test("guards against calls refused during an outage of the store although the lender has tokens") {
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

        test("guards against tokens that idle borrowers do not return") {
            val fleet = LoanFleet(routerCount = 20)
            repeat(40) { fleet.call(fleet.routers[it % 20]).get().shouldNotBeNull() }
            repeat(3) { fleet.advance(Duration.ofSeconds(3)) }
            fleet.routers.forEach { it.agent.close() }
            fleet.ledger().settledTokens shouldBe 40 * LoanFleet.USED_TOKENS
            fleet.ledger().freeTokens shouldBe LoanFleet.PAID - 40 * LoanFleet.USED_TOKENS
        }

        test(
            "guards against the remainder of a loan that is not returned after a busy borrower has switched to another lender",
        ) {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.hub.fault =
                { from, to ->
                    if (from == borrower.self.instance &&
                        to == LoanFleet.LENDERS[0]
                    ) {
                        PeerFault.REQUEST_LOST
                    } else {
                        PeerFault.NONE
                    }
                }
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.advance(Duration.ofMillis(500))

            val lender =
                fleet.routers
                    .first()
                    .agent
                    .accounts()
                    .single()
            lender.reservedTokens shouldBe 0
            lender.spentTokens shouldBe LoanFleet.USED_TOKENS
        }

        test("guards against memory that grows with each workspace because the state of idle ones is not evicted") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.advance(Duration.ofSeconds(3))
            borrower.borrower.workspaceCount shouldBe 1
            fleet.advance(Duration.ofSeconds(61))
            borrower.borrower.workspaceCount shouldBe 0
            fleet.call(borrower).get().shouldNotBeNull()
        }

        test("guards against a lost response that hides a loan from its borrower or doubles it") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.hub.fault =
                { from, _ -> if (from == borrower.self.instance) PeerFault.REPLY_LOST else PeerFault.NONE }
            borrower.borrower
                .reserve(
                    LoanFleet.WORKSPACE,
                    LoanFleet.REQUEST,
                    900_000,
                    Duration.ZERO,
                ).getError()
                .shouldNotBeNull()
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.advance(Duration.ofMillis(300))
            val reservation =
                borrower.borrower
                    .reserve(
                        LoanFleet.WORKSPACE,
                        LoanFleet.REQUEST,
                        900_000,
                        Duration.ZERO,
                    ).get()
                    .shouldNotBeNull()
            borrower.borrower.settle(reservation, 900_000)
            fleet.call(borrower, tokens = 200_000).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
        }

        test(
            "guards against calls of a large workspace refused for insufficient budget while other routers hold a large part of it",
        ) {
            for (seed in 1..5) {
                val fleet = LoanFleet(routerCount = 78, seed, neighbours = 24)
                val random = Random(seed)
                fleet.routers.forEach { it.borrower.openAccount(LoanFleet.WORKSPACE) }
                val running = ArrayDeque<Pair<LoanFleet.Router, TokenReservation>>()
                var servedTokens = 0L
                // 110 calls a second of 0.3 s each, for eight seconds; the budget covers five seconds.
                repeat(80) { tick ->
                    repeat(11) {
                        val router = fleet.routers.random(random)
                        router.borrower
                            .reserve(
                                LoanFleet.WORKSPACE,
                                LoanFleet.REQUEST,
                                2_000,
                                Duration.ZERO,
                            ).get()
                            ?.let {
                                running +=
                                    router to it
                            }
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

        test("guards against a budget that lies in parts too small for a call while the platform is unavailable") {
            // Load pattern: few large calls of a small budget, at routers of all zones, during an outage.
            val fleet = LoanFleet(routerCount = 96, zones = 6)
            fleet.routers.forEach { if (it.lenders.isEmpty()) it.borrower.openAccount(LoanFleet.WORKSPACE) }
            // As when leaders join: each reads the ledger again, and finds the accounts of the others.
            fleet.routers.forEach { it.agent.requestLedgerSync() }
            fleet.advance(Duration.ofSeconds(1))
            val holders = fleet.ledger().holders.values
            holders.size shouldBe 6
            val heldTokens = holders.sumOf { it.grantedTokens }
            val callTokens = heldTokens / 4
            holders.maxOf { it.grantedTokens } shouldBeLessThan callTokens
            fleet.storeFault = StoreFault.UNAVAILABLE
            repeat(3) { number ->
                fleet.advance(Duration.ofSeconds(1))
                withClue("call $number") {
                    fleet.call(fleet.routers[90 + number], callTokens, callTokens).get().shouldNotBeNull()
                }
            }
        }

        test("guards against a router that refuses all calls when its lenders are unreachable") {
            val fleet = LoanFleet(routerCount = 20)
            fleet.call(fleet.routers.last()).get().shouldNotBeNull()
            fleet.hub.fault =
                { from, _ ->
                    if (from ==
                        fleet.routers
                            .last()
                            .self.instance
                    ) {
                        PeerFault.REQUEST_LOST
                    } else {
                        PeerFault.NONE
                    }
                }
            fleet
                .call(
                    fleet.routers.last(),
                    tokens = 100_000,
                ).get()
                .shouldNotBeNull()
                .shouldBeInstanceOf<TokenReservation.Own>()
        }

        test(
            "guards against a request to lenders for each refused call, of a spent budget and while lenders are unreachable",
        ) {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower, tokens = 2_000_000).getError().shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            val before = fleet.loanRequestCount
            repeat(20) {
                fleet
                    .call(
                        borrower,
                        tokens = 2_000_000L + it,
                    ).getError()
                    .shouldBeInstanceOf<BudgetRefusal.InsufficientBudget>()
            }
            fleet.loanRequestCount shouldBe before
            fleet.call(borrower).get().shouldNotBeNull()

            fleet.storeFault = StoreFault.UNAVAILABLE
            fleet.hub.fault =
                { from, _ -> if (from == borrower.self.instance) PeerFault.REQUEST_LOST else PeerFault.NONE }
            fleet.call(borrower, tokens = 500_000).getError().shouldNotBeNull()
            val beforeTimeouts = fleet.loanRequestCount
            repeat(20) { fleet.call(borrower, tokens = 500_000L + it).getError().shouldNotBeNull() }
            fleet.loanRequestCount shouldBe beforeTimeouts
        }

        test("guards against a budget that is overspent when lenders and borrowers are killed and messages are lost") {
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

        test("guards against loan requests of the wrong process, under an old number and of an unknown loan") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.call(borrower).get().shouldNotBeNull()
            val lender = LoanFleet.LENDERS.first()
            val network = fleet.hub.join(borrower.self)
            val old = LoanRequest(LoanFleet.WORKSPACE, borrower.self, 0, 1_000, 1_000, 0, 0, 0, 0)
            network
                .ask(lender, LOAN_TOPIC, old, Duration.ZERO)
                .get()
                .shouldNotBeNull()
                .outcome shouldBe
                LoanOutcome.UNKNOWN_LOAN
            val foreign =
                old.copy(
                    borrower =
                        fleet.routers
                            .first()
                            .self
                            .copy(instance = InstanceId("router-3")),
                    number = 9,
                )
            network
                .ask(lender, LOAN_TOPIC, foreign, Duration.ZERO)
                .get()
                .shouldNotBeNull()
                .outcome shouldBe
                LoanOutcome.UNKNOWN_LOAN
            val unknown = old.copy(number = 9, spentTokens = 500)
            network
                .ask(lender, LOAN_TOPIC, unknown, Duration.ZERO)
                .get()
                .shouldNotBeNull()
                .outcome shouldBe
                LoanOutcome.UNKNOWN_LOAN
        }
    })
