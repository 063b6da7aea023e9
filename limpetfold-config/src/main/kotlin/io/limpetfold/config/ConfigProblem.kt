package io.limpetfold.config

/**
 * One fault of a configuration or settings value.
 *
 * @property path the field, as in `routes[2].queue.maxWait`; empty for the whole value.
 */
data class ConfigProblem(
    val path: String,
    val message: String,
    val remedy: String,
) {
    override fun toString(): String = "${path.ifEmpty { "(all)" }}: $message; $remedy"
}
