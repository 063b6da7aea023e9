package io.limpetfold.request

import java.time.Duration

/**
 * Bounds of a [RequestJournal].
 *
 * @property copies number of peers that get a copy of each record.
 * @property retention how long an entry is kept after its last update.
 * @property maxEntries maximum number of entries; the oldest is evicted first.
 * @property maxBytes maximum estimated size of the entries; the oldest is evicted first.
 * @property maxSpentTotals maximum number of cumulative spend totals, one for each holder and workspace. Totals are
 * kept longer than entries, because an operator may reclaim the tokens of an ended holder much later.
 * @property batchWindow how long the first record of a batch waits for others to the same peer.
 * @property acknowledgeTimeout timeout of a peer's acknowledgement and of a lookup at a peer.
 */
data class JournalPolicy(
    val copies: Int = 2,
    val retention: Duration = Duration.ofMinutes(10),
    val maxEntries: Int = 50_000,
    val maxBytes: Long = 16_000_000,
    val maxSpentTotals: Int = 50_000,
    val batchWindow: Duration = Duration.ofMillis(2),
    val acknowledgeTimeout: Duration = Duration.ofMillis(100),
)
