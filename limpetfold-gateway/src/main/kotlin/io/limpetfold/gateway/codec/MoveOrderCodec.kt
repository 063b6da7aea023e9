package io.limpetfold.gateway.codec

import com.github.michaelbull.result.Result
import io.limpetfold.rollout.timed.MoveOrder
import io.limpetfold.rollout.timed.MoveStatus
import io.limpetfold.store.StoredObject

/** Decodes operators' orders to move a service between versions, and encodes their status. */
interface MoveOrderCodec {
    /** Returns the order, or a message that says why [stored] is not a usable order. */
    fun decode(stored: StoredObject): Result<MoveOrder, String>

    /** Returns the JSON that reports [status] for [order]. */
    fun encodeStatus(
        order: MoveOrder,
        status: MoveStatus,
    ): String
}
