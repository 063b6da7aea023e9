package io.limpetfold.config.yaml

import java.nio.file.Path
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.io.path.walk

/** Files of the repository that the tests compare with the code. */
internal object RepositoryFiles {
    private val ROOT: Path =
        generateSequence(
            Path.of("").toAbsolutePath(),
        ) { it.parent }.first { it.resolve("docs/design.md").toFile().exists() }

    fun exampleFiles(example: String): List<SourceFile> =
        ROOT
            .resolve("examples/$example")
            .walk()
            .filter { it.name == "limpetfold.yaml" }
            .sorted()
            .map { SourceFile(ROOT.relativize(it).toString(), it.readText()) }
            .toList()

    fun read(path: String): String = ROOT.resolve(path).readText()
}
