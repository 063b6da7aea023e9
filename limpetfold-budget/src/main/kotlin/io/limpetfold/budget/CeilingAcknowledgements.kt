package io.limpetfold.budget

import io.limpetfold.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The ceilings of one account that its witnesses have acknowledged, by witness. */
internal data class CeilingAcknowledgements(
    private val byWitness: PersistentMap<InstanceId, Acknowledgement> = persistentMapOf(),
) {
    /** Adds the [reply] of [witness] to an announcement of [tokens]. */
    fun plus(
        witness: InstanceId,
        reply: CeilingReply,
        tokens: Long,
        nowMillis: Long,
    ): CeilingAcknowledgements {
        val known = byWitness[witness]?.takeIf { it.processNumber == reply.process.number }
        val ceilingTokens = maxOf(tokens, known?.ceilingTokens ?: 0)
        val next = Acknowledgement(reply.process.number, reply.holder, ceilingTokens, nowMillis)
        return CeilingAcknowledgements(byWitness.put(witness, next))
    }

    /** The ceiling that [count] of the witnesses for which [isValid] holds have acknowledged. */
    fun ceilingTokens(
        count: Int,
        isValid: (InstanceId, Acknowledgement) -> Boolean,
    ): Long {
        val valid = byWitness.filter { (witness, acknowledgement) -> isValid(witness, acknowledgement) }.values
        return valid.map { it.ceilingTokens }.sortedDescending().getOrElse(count - 1) { 0 }
    }

    /** The acknowledgement of [witness]; null if it gave none. */
    fun of(witness: InstanceId): Acknowledgement? = byWitness[witness]

    /**
     * What one witness remembers.
     *
     * @property processNumber the incarnation of the witness; a later one has forgotten the ceiling.
     * @property holder the key of the witness's own entry in the ledger; null if it had none.
     */
    data class Acknowledgement(
        val processNumber: Long,
        val holder: String?,
        val ceilingTokens: Long,
        val atMillis: Long,
    )
}
