package io.limpetfold.claim

import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64

/**
 * The stored form of an idempotency key.
 *
 * @property hash the first 128 bits of SHA-256 over workspace, route and key. Each is preceded by its length, so that
 * two different triples never give the same input.
 */
internal data class ClaimKey(
    val shard: Int,
    val hash: String,
) {
    companion object {
        const val SHARD_COUNT = 64
        private const val HASH_BYTES = 16

        fun of(
            workspace: WorkspaceId,
            route: RouteId,
            idempotencyKey: String,
        ): ClaimKey {
            val digest = MessageDigest.getInstance("SHA-256")
            for (part in listOf(workspace.value, route.value, idempotencyKey)) {
                val bytes = part.encodeToByteArray()
                digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
                digest.update(bytes)
            }
            val hash = digest.digest().copyOf(HASH_BYTES)
            val text = Base64.getUrlEncoder().withoutPadding().encodeToString(hash)
            return ClaimKey(hash[0].toInt() and (SHARD_COUNT - 1), text)
        }
    }
}
