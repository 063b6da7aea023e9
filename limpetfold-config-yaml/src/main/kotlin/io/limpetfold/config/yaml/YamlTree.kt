package io.limpetfold.config.yaml

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.config.ConfigProblem
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A parsed YAML file that can locate the line of each field. */
internal class YamlTree private constructor(
    private val file: String,
    private val root: YamlNode,
) {
    /** The values without their line numbers; every scalar is a string. */
    val value: JsonElement = convert(root)

    /** Adds file and line to [problem]. */
    fun locate(problem: ConfigProblem): FileProblem =
        FileProblem(file, line(problem.path), problem.path, problem.message, problem.remedy)

    /** Returns the line of the field at [path], or of its innermost enclosing element that exists. */
    private fun line(path: String): Int {
        var node = root
        var line = root.location.line
        for (step in STEP.findAll(path)) {
            val (name, index) = step.destructured
            val current = node
            node =
                when (current) {
                    is YamlMap -> {
                        val key = current.getKey(name) ?: return line
                        line = key.location.line
                        current.get<YamlNode>(name)
                    }
                    is YamlList -> current.items.getOrNull(index.toIntOrNull() ?: -1)?.also { line = it.location.line }
                    else -> null
                } ?: return line
        }
        return line
    }

    companion object {
        private val STEP = Regex("([^.\\[\\]]+)|\\[(\\d+)]")

        fun parse(source: SourceFile): Result<YamlTree, FileProblem> =
            try {
                Ok(YamlTree(source.name, Yaml.default.parseToYamlNode(source.text)))
            } catch (e: YamlException) {
                val remedy = "correct the syntax; the rest of this file was not checked"
                Err(FileProblem(source.name, e.line, "", e.message.lineSequence().first(), remedy))
            }

        private fun convert(node: YamlNode): JsonElement =
            when (node) {
                is YamlNull -> JsonNull
                is YamlScalar -> JsonPrimitive(node.content)
                is YamlList -> JsonArray(node.items.map { convert(it) })
                is YamlMap ->
                    JsonObject(
                        node.entries.entries.associate { (key, value) ->
                            key.content to convert(value)
                        },
                    )
                is YamlTaggedNode -> convert(node.innerNode)
            }
    }
}
