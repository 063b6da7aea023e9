package io.limpetfold.gateway.codec

import com.github.michaelbull.result.Result
import io.limpetfold.rollout.timed.MoveOrder
import io.limpetfold.rollout.timed.MoveStatus
import io.limpetfold.store.StoredObject

/** Translates operators' orders to move a service between versions. */
interface MoveOrderCodec {
    /** Returns the order, or a message that says why [stored] can't be followed. */
    fun decode(stored: StoredObject): Result<MoveOrder, String>

    /** The status, in JSON, that reports [status] for [order]. */
    fun encodeStatus(
        order: MoveOrder,
        status: MoveStatus,
    ): String
}
