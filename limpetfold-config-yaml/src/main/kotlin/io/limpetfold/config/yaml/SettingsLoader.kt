package io.limpetfold.config.yaml

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.config.ConfigProblem
import io.limpetfold.config.StructureCheck
import io.limpetfold.store.TypedObject
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Reads a YAML file as a [T] and reports all its faults at once.
 *
 * Keys, units, ranges and patterns come from the type ([io.limpetfold.config.AllowedRange], [io.limpetfold.config.AllowedPattern]); [check]
 * adds faults between fields. Types may hold numbers, texts, enums, lists, maps and other such types, but no polymorphic ones.
 */
class SettingsLoader<T : Any>(
    private val serializer: KSerializer<T>,
    private val check: (T) -> List<ConfigProblem> = { emptyList() },
) {
    /** Reads the file at [path]; blocks, so it is meant for the start of a program. */
    fun load(path: Path): Result<T, ImmutableList<FileProblem>> =
        read(path).fold(
            success = { load(it) },
            failure = { Err(persistentListOf(it)) },
        )

    /** Reads [source]. */
    fun load(source: SourceFile): Result<T, ImmutableList<FileProblem>> =
        YamlTree.parse(source).fold(
            success = { tree ->
                val draft = draft(tree)
                val value = draft.value
                if (value == null || draft.problems.isNotEmpty()) Err(draft.problems.toImmutableList()) else Ok(value)
            },
            failure = { Err(persistentListOf(it)) },
        )

    /** Reads as much as possible: [Draft.value] holds defaults and placeholders for faulty fields. */
    internal fun draft(tree: YamlTree): Draft<T> {
        val checked = StructureCheck.check(serializer.descriptor, tree.value)
        val value =
            try {
                TypedObject.JSON.decodeFromJsonElement(serializer, checked.value)
            } catch (e: SerializationException) {
                val problem = ConfigProblem("", "does not decode (${e.message?.lineSequence()?.first()})", "correct the value")
                return Draft(tree, null, (checked.problems.ifEmpty { listOf(problem) }).map(tree::locate))
            }
        val relations = check(value).filterNot { relation -> checked.problems.any { covers(it.path, relation.path) } }
        return Draft(tree, value, (checked.problems + relations).map(tree::locate).sortedBy { it.line })
    }

    /** @property value null when nothing could be decoded. */
    internal class Draft<T>(
        val tree: YamlTree,
        val value: T?,
        val problems: List<FileProblem>,
    )

    companion object {
        /** Reads the text of [path]; a failure names the file and the remedy. */
        fun read(path: Path): Result<SourceFile, FileProblem> =
            try {
                Ok(SourceFile(path.toString(), path.readText()))
            } catch (e: IOException) {
                val remedy = "check the path and its permissions"
                Err(FileProblem(path.toString(), 0, "", "can't be read (${e.javaClass.simpleName})", remedy))
            }

        /** Whether a fault at [outer] explains one at [inner]. */
        internal fun covers(
            outer: String,
            inner: String,
        ): Boolean = inner == outer || inner.startsWith("$outer.") || inner.startsWith("$outer[")
    }
}
