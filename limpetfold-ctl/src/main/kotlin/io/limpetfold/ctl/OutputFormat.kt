package io.limpetfold.ctl

/** The form of a command's output. */
internal enum class OutputFormat {
    TABLE,
    JSON,
}
