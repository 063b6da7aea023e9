package io.limpetfold.ctl

/** The exit codes of `limpetfold-ctl`. */
internal enum class ExitCode(
    val code: Int,
) {
    /** Done. */
    OK(0),

    /** The command line or the settings are wrong; nothing was changed. */
    INVALID_INPUT(2),

    /** The command was refused, for example because another operator was first; nothing was changed. */
    REFUSED(3),

    /** The named object does not exist. */
    NOT_FOUND(4),

    /** The platform gave no usable response; the message says whether something may have been changed. */
    PLATFORM_UNAVAILABLE(5),

    /** A move has ended, but not every router has confirmed its outcome in time. */
    NOT_CONFIRMED(6),
}
