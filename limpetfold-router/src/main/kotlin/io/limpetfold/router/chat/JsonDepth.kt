package io.limpetfold.router.chat

/**
 * Checks the nesting depth of JSON from callers and endpoints before it is parsed, because deeply nested JSON overflows
 * the stack of the recursive parser.
 */
internal object JsonDepth {
    const val MAX_LEVELS = 64

    fun isExceeded(text: String): Boolean = depth(text) > MAX_LEVELS

    /** The maximum nesting of objects and arrays in [text]; brackets within strings do not count. */
    private fun depth(text: String): Int {
        var depth = 0
        var maxDepth = 0
        var isInString = false
        var isEscaped = false
        for (char in text) {
            when {
                isEscaped -> isEscaped = false
                isInString && char == '\\' -> isEscaped = true
                char == '"' -> isInString = !isInString
                isInString -> Unit
                char == '{' || char == '[' -> maxDepth = maxOf(maxDepth, ++depth)
                char == '}' || char == ']' -> depth--
            }
        }
        return maxDepth
    }
}
