package io.limpetfold.peer.ktor

import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** The secret shared by all routers of a fleet; [toString] does not reveal it. */
class FleetKey(
    secret: String,
) {
    private val key = SecretKeySpec(secret.encodeToByteArray(), ALGORITHM)

    init {
        require(secret.length >= MIN_CHARS) { "the fleet key has fewer than $MIN_CHARS characters; use a random text" }
    }

    internal fun hmac(message: ByteArray): ByteArray = Mac.getInstance(ALGORITHM).apply { init(key) }.doFinal(message)

    override fun toString(): String = "FleetKey"

    companion object {
        /**
         * Long enough to resist offline guessing: an attacker who records a handshake can test guesses against its
         * proofs.
         */
        const val MIN_CHARS = 32
        private const val ALGORITHM = "HmacSHA256"
    }
}
