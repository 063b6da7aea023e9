package io.limpetfold.budget.loan

import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.limpetfold.testing.PeerFault
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.time.Duration
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private val ROUND: Duration = Duration.ofSeconds(1)

/** The time within which a loan is settled after its routers can talk again. */
private const val SETTLED_AFTER_ROUNDS = 15

private val SEEDS = Integer.getInteger("limpetfold.seeds", 150)

private val CONCURRENT_SEEDS = SEEDS / 7

/** Load pattern: loans whose messages are lost, late or repeated, between routers that restart. */
class LoanSettlementTest :
    FunSpec({
        test(
            "guards against a loan that stays reserved when its response is lost and its borrower needs nothing more",
        ) {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.hub.fault =
                { from, _ -> if (from == borrower.self.instance) PeerFault.REPLY_LOST else PeerFault.NONE }
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.accountTokens().reservedTokens shouldBeGreaterThan 0
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            repeat(4) { fleet.advance(ROUND) }
            fleet.accountTokens() shouldBe LoanFleet.AccountTokens(reservedTokens = 0, LoanFleet.USED_TOKENS)
        }

        test("guards against a lost response that stays unnoticed while the borrower's own account serves its calls") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.hub.fault =
                { from, _ -> if (from == borrower.self.instance) PeerFault.REPLY_LOST else PeerFault.NONE }
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            fleet.hasLenders = false
            val reservations =
                List(20) {
                    fleet.advance(Duration.ofMillis(500))
                    fleet.call(borrower).get().shouldNotBeNull()
                }
            // The borrower has learnt of the loans of both lenders; each lasts for one call.
            reservations.filterIsInstance<TokenReservation.Borrowed>().size shouldBe 2
            repeat(4) { fleet.advance(ROUND) }
            fleet.accountTokens() shouldBe LoanFleet.AccountTokens(reservedTokens = 0, 21 * LoanFleet.USED_TOKENS)
        }

        test("guards against a late request whose loan stays reserved after its borrower has given it up") {
            val fleet = LoanFleet(routerCount = 20)
            val borrower = fleet.routers.last()
            fleet.hub.fault =
                { from, _ -> if (from == borrower.self.instance) PeerFault.REQUEST_LOST else PeerFault.NONE }
            fleet.call(borrower).get().shouldNotBeNull()
            fleet.hub.fault = { _, _ -> PeerFault.NONE }
            repeat(5) { fleet.advance(ROUND) }
            // Both the request and the report of its lost loan arrive.
            repeat(10) { fleet.deliverAgain(Random(it)) }
            fleet.accountTokens().reservedTokens shouldBeGreaterThan 0
            repeat(SETTLED_AFTER_ROUNDS) { fleet.advance(ROUND) }
            fleet.accountTokens() shouldBe LoanFleet.AccountTokens(reservedTokens = 0, LoanFleet.USED_TOKENS)
        }

        test("guards against a loan that stays reserved for a borrower whose process was replaced") {
            val fleet = LoanFleet(routerCount = 20)
            fleet.routers
                .last()
                .borrower
                .reserve(LoanFleet.WORKSPACE, LoanFleet.REQUEST, LoanFleet.CALL_TOKENS, Duration.ZERO)
                .get()
                .shouldNotBeNull()
            val lentTokens = fleet.accountTokens().reservedTokens
            lentTokens shouldBeGreaterThan 0
            fleet.restart(fleet.routers.lastIndex)
            repeat(SETTLED_AFTER_ROUNDS) { fleet.advance(ROUND) }
            // The old process may have used the tokens, so they count as spent.
            fleet.accountTokens() shouldBe LoanFleet.AccountTokens(reservedTokens = 0, lentTokens)
        }

        test("guards against a loan that is never settled when requests for it are handled at the same time") {
            for (seed in 1..CONCURRENT_SEEDS) {
                val fleet = LoanFleet(routerCount = 6, seed = seed)
                val usedTokens = AtomicLong()
                repeat(15) {
                    withContext(Dispatchers.Default) {
                        repeat(8) { caller ->
                            launch {
                                val random = Random(seed * 1_000 + it * 10 + caller)
                                repeat(4) {
                                    fleet
                                        .call(
                                            fleet.routers[2 + random.nextInt(4)],
                                        ).get()
                                        ?.let { usedTokens.addAndGet(LoanFleet.USED_TOKENS) }
                                }
                                fleet.deliverAgain(random)
                                fleet.routers.random(random).maintain()
                            }
                        }
                    }
                    fleet.hub.fault = fleet.randomFault(Random(seed * 1_000 + it))
                    fleet.advance(Duration.ofMillis(900))
                }
                fleet.hub.fault = { _, _ -> PeerFault.NONE }
                repeat(SETTLED_AFTER_ROUNDS) { fleet.advance(ROUND) }
                withClue(seed) {
                    fleet.accountTokens().reservedTokens shouldBe 0
                    fleet.routers.forEach { it.agent.close() }
                    fleet.ledger().freeTokens shouldBeLessThanOrEqual LoanFleet.PAID - usedTokens.get()
                }
            }
        }

        test("guards against tokens lost or spent twice when loan messages are lost") {
            for (seed in 1..SEEDS) {
                val schedule = LoanSchedule(seed, hasRestarts = false, hasRepeats = false)
                schedule.run()
                schedule.settle(SETTLED_AFTER_ROUNDS)
                val fleet = schedule.fleet
                withClue(seed) {
                    fleet.accountTokens().reservedTokens shouldBe 0
                    fleet.routers.forEach { it.agent.close() }
                    fleet.ledger().settledTokens shouldBe schedule.usedTokens
                }
            }
        }

        test("guards against loans never settled, or tokens spent twice, with restarts and late or repeated messages") {
            for (seed in 1..SEEDS) {
                val schedule = LoanSchedule(seed, hasRestarts = true, hasRepeats = true)
                schedule.run()
                withClue(seed) { schedule.usedTokens shouldBeLessThanOrEqual LoanFleet.PAID }
                schedule.settle(SETTLED_AFTER_ROUNDS)
                val fleet = schedule.fleet
                withClue(seed) {
                    fleet.accountTokens().reservedTokens shouldBe 0
                    schedule.usedTokens shouldBeLessThanOrEqual LoanFleet.PAID
                    fleet.routers.forEach { it.agent.close() }
                    fleet.ledger().freeTokens shouldBeLessThanOrEqual LoanFleet.PAID - schedule.usedTokens
                }
            }
        }
    })
