package io.limpetfold.config.yaml

/** The text of a file; [name] is how messages call it, as a rule its path. */
data class SourceFile(
    val name: String,
    val text: String,
)
