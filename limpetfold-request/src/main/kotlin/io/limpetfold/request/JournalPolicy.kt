package io.limpetfold.request

import java.time.Duration

/**
 * Bounds of a [RequestJournal].
 *
 * @property copies peers that hold a copy of each record.
 * @property life how long an entry is kept.
 * @property maxEntries entries kept; the oldest is dropped first.
 * @property maxBytes estimated bytes kept; the oldest entry is dropped first.
 * @property maxSpentTotals cumulative totals kept, one for each holder and workspace. They outlive the entries, because an
 * operator may reclaim a dead holder much later.
 * @property batchWindow how long the first record for a peer waits for others.
 * @property acknowledgeWithin wait for a peer's acknowledgement.
 */
data class JournalPolicy(
    val copies: Int = 2,
    val life: Duration = Duration.ofMinutes(10),
    val maxEntries: Int = 50_000,
    val maxBytes: Long = 16_000_000,
    val maxSpentTotals: Int = 50_000,
    val batchWindow: Duration = Duration.ofMillis(2),
    val acknowledgeWithin: Duration = Duration.ofMillis(100),
)
