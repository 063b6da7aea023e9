package io.limpetfold.config

/**
 * One validation error of a configuration or settings value.
 *
 * @property path the field, as in `routes[2].queue.maxWait`; empty for the whole value.
 * @property relatedPath another field that the error involves, such as the first use of a duplicate name.
 */
data class ConfigProblem(
    val path: String,
    val message: String,
    val remedy: String,
    val relatedPath: String? = null,
) {
    override fun toString(): String {
        val related = relatedPath?.let { " (see $it)" }.orEmpty()
        return "${path.ifEmpty { "(all)" }}: $message$related; $remedy"
    }
}
