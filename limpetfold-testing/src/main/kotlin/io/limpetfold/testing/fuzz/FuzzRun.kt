package io.limpetfold.testing.fuzz

import java.io.File
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** The packets that one case sends, in order. */
typealias FuzzCase = List<ByteArray>

/** A promise that a case broke; [kind] names the promise, and a case is shortened while it breaks the same one. */
class FuzzFailure(
    val kind: String,
    detail: String,
) : AssertionError("$kind: $detail")

/** Fails the running case with [kind] unless [condition] holds. */
inline fun expect(
    condition: Boolean,
    kind: String,
    detail: () -> String,
) {
    if (!condition) throw FuzzFailure(kind, detail())
}

/**
 * Checks seeded cases against one decoder; case and mutations are a function of the seed alone.
 *
 * The system properties `limpetfold.fuzz.cases` and `limpetfold.fuzz.firstSeed` select more or other cases. Cases that
 * failed once are kept in `src/test/resources/fuzz/NAME`, a packet a line, and are replayed first.
 *
 * @param check throws on a broken promise; any throwable counts.
 */
class FuzzRun(
    private val name: String,
    private val generate: (Random) -> FuzzCase,
    private val check: (FuzzCase) -> Unit,
) {
    /** Replays the kept cases, then runs the generated ones; throws [AssertionError] with the shortest failing case. */
    fun run() {
        val kept = File("src/test/resources/fuzz/$name").listFiles().orEmpty().sorted()
        kept.forEach { file -> report("kept case ${file.name}", file.readLines().map(FuzzText::unescape)) }
        val first = Integer.getInteger("limpetfold.fuzz.firstSeed", 0)
        val cases = Integer.getInteger("limpetfold.fuzz.cases", CASES)
        val startNanos = System.nanoTime()
        for (seed in first until first + cases) report("seed $seed", generate(Random(seed)))
        val millis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
        println("fuzz: name=$name kept=${kept.size} cases=$cases millis=$millis")
    }

    private fun report(
        origin: String,
        case: FuzzCase,
    ) {
        val failure = failureOf(case) ?: return
        val shortest = shorten(case, kindOf(failure))
        val lines = shortest.joinToString("\n") { FuzzText.escape(it).take(MAX_PRINTED_CHARS) }
        throw AssertionError("$name, $origin: $failure\nshortest case, ${failureOf(shortest)}:\n$lines", failure)
    }

    private fun failureOf(case: FuzzCase): Throwable? {
        val before = THREADS.currentThreadCpuTime
        return try {
            check(case)
            val millis = (THREADS.currentThreadCpuTime - before) / NANOS_PER_MILLI
            FuzzFailure("time", "$millis ms of processor time").takeIf { millis > MAX_CASE_MILLIS }
        } catch (e: Throwable) {
            e
        }
    }

    private fun kindOf(failure: Throwable): String = (failure as? FuzzFailure)?.kind ?: failure.javaClass.name

    /** Removes packets, packet borders and ranges of bytes as long as the case fails in the same way. */
    private fun shorten(
        case: FuzzCase,
        kind: String,
    ): FuzzCase {
        var best = case
        var tries = 0
        while (true) {
            best = smallerCases(best).firstOrNull { tries++ < MAX_TRIES && failureOf(it)?.let(::kindOf) == kind }
                ?: return best
        }
    }

    private fun smallerCases(case: FuzzCase): Sequence<FuzzCase> =
        sequence {
            for (i in case.indices) yield(case.filterIndexed { index, _ -> index != i })
            for (i in 1 until case.size) {
                yield(case.take(i - 1) + (case[i - 1] + case[i]) + case.drop(i + 1))
            }
            for ((i, packet) in case.withIndex()) {
                var length = packet.size / 2
                while (length > 0) {
                    for (from in 0..packet.size - length step length) {
                        val rest = packet.copyOf(from) + packet.copyOfRange(from + length, packet.size)
                        yield(case.take(i) + rest + case.drop(i + 1))
                    }
                    length /= 2
                }
            }
        }

    private companion object {
        val THREADS = ManagementFactory.getThreadMXBean()
        const val CASES = 10_000
        const val MAX_CASE_MILLIS = 2_000L
        const val MAX_TRIES = 20_000
        const val MAX_PRINTED_CHARS = 4_000
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
