package io.limpetfold.gateway.operate

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.limpetfold.replication.RelayPolicy
import java.time.Duration

/** A connection, and the response of a slow store to the repeated watch. */
private val RECONNECT_TIME: Duration = Duration.ofMillis(290)

class FeedPoliciesTest :
    FunSpec({
        test("guards against a feed that notices a silent connection only after the time in which it must be current") {
            for (seconds in 3L..10L) {
                val contactTime = Duration.ofSeconds(seconds)
                val policies =
                    listOf(
                        FleetPolicies.feedPolicy(contactTime, Duration.ZERO),
                        FleetPolicies.feedPolicy(contactTime, Duration.ofMillis(800)),
                        FleetPolicies.largeFleetFeedPolicy(contactTime),
                    )
                for (policy in policies) {
                    withClue("contact time $contactTime, $policy") {
                        val noticedAfter = policy.pauseAfterChange + policy.watchWait + policy.responseMargin
                        noticedAfter + policy.backoffMin + RECONNECT_TIME shouldBeLessThan contactTime
                    }
                }
            }
        }

        test("guards against a relay that stops responding and delays a change beyond the time for changes") {
            // Deployments ask for changes to be in force within two thirds of the contact time or more.
            for (seconds in 3L..10L) {
                val contactTime = Duration.ofSeconds(seconds)
                val policy = FleetPolicies.largeFleetFeedPolicy(contactTime)
                withClue("contact time $contactTime, $policy") {
                    val askedStoreAfter = policy.pauseAfterChange + policy.watchWait + RelayPolicy().responseMargin
                    val feedGivesUpAfter = policy.pauseAfterChange + policy.watchWait + policy.responseMargin
                    // The store is asked within the same watch, and its response still counts.
                    askedStoreAfter + RECONNECT_TIME.dividedBy(2) shouldBeLessThan feedGivesUpAfter
                    askedStoreAfter + RECONNECT_TIME shouldBeLessThan contactTime.multipliedBy(2).dividedBy(3)
                }
            }
        }

        test("guards against orders that are unseen for seconds after an outage of the store has ended") {
            val contactTime = Duration.ofSeconds(3)
            val policy = FleetPolicies.feedPolicy(contactTime, Duration.ZERO)
            policy.backoffMax + RECONNECT_TIME shouldBeLessThan contactTime
        }
    })
