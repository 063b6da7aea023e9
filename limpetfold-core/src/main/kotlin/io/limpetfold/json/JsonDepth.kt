package io.limpetfold.json

/**
 * Limits the nesting of JSON from other processes, because deeply nested JSON overflows the stack of code that walks
 * through it recursively.
 */
object JsonDepth {
    /** The number of objects and arrays that may be nested in each other. */
    const val MAX_LEVELS: Int = 64

    private const val REPLACEMENT = "null"

    /** Whether [text] is nested deeper than [MAX_LEVELS]. Brackets within strings do not count. */
    fun isExceeded(text: String): Boolean {
        val scanner = Scanner()
        return text.any {
            scanner.next(it)
            scanner.depth > MAX_LEVELS
        }
    }

    /** Returns [text] with all objects and arrays below [MAX_LEVELS] replaced by null. */
    fun pruned(text: String): String {
        if (!isExceeded(text)) return text
        val scanner = Scanner()
        val kept = StringBuilder(text.length)
        for (char in text) {
            val before = scanner.depth
            scanner.next(char)
            when {
                maxOf(before, scanner.depth) <= MAX_LEVELS -> kept.append(char)
                before == MAX_LEVELS -> kept.append(REPLACEMENT)
            }
        }
        return kept.toString()
    }

    /** Follows the nesting of a text, character by character. */
    private class Scanner {
        var depth = 0
            private set
        private var isInString = false
        private var isEscaped = false

        fun next(char: Char) {
            when {
                isEscaped -> isEscaped = false
                isInString && char == '\\' -> isEscaped = true
                char == '"' -> isInString = !isInString
                isInString -> Unit
                char == '{' || char == '[' -> depth++
                char == '}' || char == ']' -> depth--
            }
        }
    }
}
