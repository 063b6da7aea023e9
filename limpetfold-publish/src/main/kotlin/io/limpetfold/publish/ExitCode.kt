package io.limpetfold.publish

/** The exit codes of `limpetfold-publish`. */
enum class ExitCode(
    val code: Int,
) {
    /** Done; after `publish`, the generation is in force in every router. */
    OK(0),

    /** The command line, a file or the settings are wrong; nothing was published. */
    INVALID_INPUT(2),

    /** Another publication came first; this one was not published. */
    LOST_RACE(3),

    /** Published, but not every router confirmed the generation in time. */
    NOT_IN_FORCE(4),

    /** The platform gave no usable answer; the message says whether something may have been published. */
    PLATFORM_UNAVAILABLE(5),
}
