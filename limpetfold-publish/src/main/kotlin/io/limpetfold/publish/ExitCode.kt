package io.limpetfold.publish

/** The exit codes of `limpetfold-publish`. */
enum class ExitCode(
    val code: Int,
) {
    /** Success; after `publish`, every router has confirmed the generation. */
    OK(0),

    /** The command line, a file or the settings are invalid; nothing was published. */
    INVALID_INPUT(2),

    /** Another generation was published first; this one was not published. */
    GENERATION_CONFLICT(3),

    /** Published, but not every router confirmed the generation in time. */
    NOT_CONFIRMED(4),

    /** The platform gave no usable response; the message says whether something may have been published. */
    PLATFORM_UNAVAILABLE(5),
}
