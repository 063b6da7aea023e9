package io.limpetfold.platform

import io.limpetfold.store.ObjectVersion
import org.slf4j.LoggerFactory

/**
 * Reads the era of the store from the header [header] of its responses.
 *
 * A response without a valid era may be the first one after a restore, so it has no known era once the store has stated
 * one. Until then a response without the header has era 0, as in stores that have never been restored. Safe for
 * concurrent use.
 *
 * @param warn is called once for each stated value that is invalid or less than an earlier one, for up to [MAX_WARNINGS].
 */
class StoreEraReader(
    private val header: String,
    private val warn: (String) -> Unit = LoggerFactory.getLogger(StoreEraReader::class.java)::warn,
) {
    private val lock = Any()
    private val warned = HashSet<String?>()
    private var latestEra: Long? = null

    /** The era that [response] states; null if it is not known. */
    fun eraOf(response: PlatformClient.Response): Long? {
        val text = response.head.headers[header]
        val era = text?.trim()?.toLongOrNull()?.takeIf { it in 0..ObjectVersion.MAX_ERA }
        val warning =
            synchronized(lock) {
                val latest = latestEra
                if (era != null && era >= (latest ?: 0)) {
                    latestEra = era
                    return era
                }
                if (text == null && latest == null) return 0
                val isNew = warned.size < MAX_WARNINGS && warned.add(text)
                if (isNew) warningOf(text, era, latest) else null
            }
        warning?.let(warn)
        return era
    }

    private fun warningOf(
        text: String?,
        era: Long?,
        latest: Long?,
    ): String {
        val stated = text?.take(MAX_LOGGED_CHARS)?.filterNot(Char::isISOControl) ?: "none"
        val kind = if (era == null) "without a valid era, not used" else "of an earlier era"
        return "store: response $kind, latest=${latest ?: "none"} stated=$stated"
    }

    private companion object {
        const val MAX_LOGGED_CHARS = 40

        /** Bounds the log and the memory if a store states a different invalid value each time. */
        const val MAX_WARNINGS = 16
    }
}
