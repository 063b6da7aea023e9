package io.limpetfold.config.yaml

/** The text of a file; [name] identifies the file in messages and is usually its path. */
data class SourceFile(
    val name: String,
    val text: String,
)
