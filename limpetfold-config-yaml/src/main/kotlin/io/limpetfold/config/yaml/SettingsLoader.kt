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
 * Reads a YAML file as a [T] and reports all its problems at once.
 *
 * Keys, units, ranges and patterns come from the type ([io.limpetfold.config.AllowedRange],
 * [io.limpetfold.config.AllowedPattern]); [check] reports problems between fields. Types may have properties of number,
 * boolean, string, enum, list and map types and of other such classes, but not of polymorphic ones.
 */
class SettingsLoader<T : Any>(
    private val serializer: KSerializer<T>,
    private val check: (T) -> List<ConfigProblem> = { emptyList() },
) {
    /** Reads the file at [path]. Blocks, so call it only at the start of a program. */
    fun load(path: Path): Result<T, ImmutableList<FileProblem>> =
        read(path).fold(
            success = { load(it) },
            failure = { Err(persistentListOf(it)) },
        )

    /** Parses and checks [source]. */
    fun load(source: SourceFile): Result<T, ImmutableList<FileProblem>> =
        YamlTree.parse(source).fold(
            success = { tree ->
                val draft = draft(tree)
                val value = draft.value
                if (value == null || draft.problems.isNotEmpty()) Err(draft.problems.toImmutableList()) else Ok(value)
            },
            failure = { Err(persistentListOf(it)) },
        )

    /** Reads as much as possible: [Draft.value] has defaults and placeholders in place of invalid fields. */
    internal fun draft(tree: YamlTree): Draft<T> {
        val checked = StructureCheck.check(serializer.descriptor, tree.value)
        val value =
            try {
                TypedObject.JSON.decodeFromJsonElement(serializer, checked.value)
            } catch (e: SerializationException) {
                val problem =
                    ConfigProblem("", "can't be decoded (${e.message?.lineSequence()?.first()})", "correct the value")
                return Draft(tree, null, (checked.problems.ifEmpty { listOf(problem) }).map(tree::locate))
            }
        val relationProblems =
            check(value).filterNot { relation ->
                checked.problems.any { covers(it.path, relation.path) }
            }
        return Draft(tree, value, (checked.problems + relationProblems).map(tree::locate).sortedBy { it.line })
    }

    /** @property value null when the file could not be decoded at all. */
    internal class Draft<T>(
        val tree: YamlTree,
        val value: T?,
        val problems: List<FileProblem>,
    )

    companion object {
        /** Reads the text of the file at [path]. */
        fun read(path: Path): Result<SourceFile, FileProblem> =
            try {
                Ok(SourceFile(path.toString(), path.readText()))
            } catch (e: IOException) {
                val remedy = "check the path and its permissions"
                Err(FileProblem(path.toString(), 0, "", "can't be read (${e.javaClass.simpleName})", remedy))
            }

        /** Whether a problem at path [outer] already covers one at path [inner]: the same field or a part of it. */
        internal fun covers(
            outer: String,
            inner: String,
        ): Boolean = inner == outer || inner.startsWith("$outer.") || inner.startsWith("$outer[")
    }
}
