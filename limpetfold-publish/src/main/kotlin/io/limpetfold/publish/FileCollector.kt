package io.limpetfold.publish

import com.github.michaelbull.result.fold
import io.limpetfold.config.yaml.FileProblem
import io.limpetfold.config.yaml.SettingsLoader
import io.limpetfold.config.yaml.SourceFile
import java.nio.file.FileVisitResult
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.isDirectory
import kotlin.io.path.name
import kotlin.io.path.visitFileTree

/**
 * Finds service files: all files named [FILE_NAME] under the given directories, and files given by path whatever their
 * name.
 */
@OptIn(ExperimentalPathApi::class)
internal object FileCollector {
    const val FILE_NAME = "limpetfold.yaml"

    /** The files that were read, and a problem for each path that could not be read. */
    class Collected(
        val files: List<SourceFile>,
        val problems: List<FileProblem>,
    )

    fun collect(paths: List<Path>): Collected {
        val problems = mutableListOf<FileProblem>()
        val found = paths.flatMap { path -> if (path.isDirectory()) filesUnder(path, problems) else listOf(path) }
        val files =
            found.distinctBy { it.toAbsolutePath().normalize() }.mapNotNull { path ->
                SettingsLoader.read(path).fold(
                    success = { it },
                    failure = {
                        problems += it
                        null
                    },
                )
            }
        return Collected(files, problems)
    }

    /**
     * Lists the service files under [directory]; skips directories whose name starts with a dot, which hold data of
     * tools.
     */
    private fun filesUnder(
        directory: Path,
        problems: MutableList<FileProblem>,
    ): List<Path> {
        val found = mutableListOf<Path>()
        directory.visitFileTree {
            onPreVisitDirectory { path, _ ->
                if (path != directory &&
                    path.name.startsWith(".")
                ) {
                    FileVisitResult.SKIP_SUBTREE
                } else {
                    FileVisitResult.CONTINUE
                }
            }
            onVisitFile { path, _ ->
                if (path.name == FILE_NAME) found.add(path)
                FileVisitResult.CONTINUE
            }
            onVisitFileFailed { path, e ->
                val remedy = "check its permissions"
                problems += FileProblem(path.toString(), 0, "", "can't be read (${e.javaClass.simpleName})", remedy)
                FileVisitResult.CONTINUE
            }
        }
        if (found.isEmpty()) {
            val remedy = "name a directory with service files, or the files themselves"
            problems += FileProblem(directory.toString(), 0, "", "contains no file named $FILE_NAME", remedy)
        }
        return found.sorted()
    }
}
