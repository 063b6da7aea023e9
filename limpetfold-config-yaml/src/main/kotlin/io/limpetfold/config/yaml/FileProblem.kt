package io.limpetfold.config.yaml

/**
 * One validation error of a file.
 *
 * @property line counted from 1; 0 for the file as a whole.
 * @property field the path of the field, as in `routes[0].queue.maxWait`; empty for the file as a whole.
 */
data class FileProblem(
    val file: String,
    val line: Int,
    val field: String,
    val message: String,
    val remedy: String,
) {
    override fun toString(): String {
        val location = if (line > 0) "$file:$line" else file
        return if (field.isEmpty()) "$location: $message; $remedy" else "$location: $field: $message; $remedy"
    }
}
