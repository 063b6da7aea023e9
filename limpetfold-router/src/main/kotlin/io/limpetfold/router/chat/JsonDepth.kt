package io.limpetfold.router.chat

/** Bounds the nesting of JSON from callers and endpoints before it is parsed, because the parser recurses. */
internal object JsonDepth {
    const val MAX_LEVELS = 64

    fun isExceeded(text: String): Boolean = depth(text) > MAX_LEVELS

    /** The deepest nesting of objects and arrays in [text], without regard to brackets in strings. */
    private fun depth(text: String): Int {
        var depth = 0
        var deepest = 0
        var isInString = false
        var isEscaped = false
        for (char in text) {
            when {
                isEscaped -> isEscaped = false
                isInString && char == '\\' -> isEscaped = true
                char == '"' -> isInString = !isInString
                isInString -> Unit
                char == '{' || char == '[' -> deepest = maxOf(deepest, ++depth)
                char == '}' || char == ']' -> depth--
            }
        }
        return deepest
    }
}
