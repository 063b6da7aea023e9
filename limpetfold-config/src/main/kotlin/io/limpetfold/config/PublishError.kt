package io.limpetfold.config

import io.limpetfold.store.StoreError
import java.time.Instant

/** Why a configuration was not published. */
sealed interface PublishError {
    val message: String

    /** The configuration is invalid; nothing was written. */
    data class Invalid(
        val problems: List<ConfigProblem>,
    ) : PublishError {
        override val message get() = "the configuration has ${problems.size} faults: ${problems.joinToString("; ")}"
    }

    /** Another generation was published between the comparison and the write. */
    data class GenerationConflict(
        val expectedGeneration: Long,
        val generation: Long,
        val author: String,
        val publishedAt: Instant?,
    ) : PublishError {
        override val message get() =
            "generation $generation of $author, published at $publishedAt, is current instead of generation " +
                "$expectedGeneration " +
                "that this publication was compared with; run diff again before publishing"
    }

    /** The platform failed before anything was written. */
    data class Unavailable(
        val error: StoreError,
    ) : PublishError {
        override val message get() = error.message
    }

    /** The write may have taken effect; publishing the same content again is safe. */
    data class OutcomeUnknown(
        val error: StoreError,
    ) : PublishError {
        override val message get() =
            "it is unknown whether the generation was written (${error.message}); publish the same files again: " +
                "an earlier write is recognised and not repeated"
    }
}
