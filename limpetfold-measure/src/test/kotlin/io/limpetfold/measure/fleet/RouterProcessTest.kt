package io.limpetfold.measure.fleet

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against heap figures of 0 when the JVM prints the heap information of another garbage collector. */
class RouterProcessTest :
    FunSpec({
        test("the generations of the serial collector are added up") {
            val info =
                """
                4711:
                 def new generation   total 78656K, used 1000K [0x00000000f0000000, 0x00000000f5550000, 0x00000000f5550000)
                  eden space 69952K,   1% used [0x00000000f0000000, 0x00000000f00fa000, 0x00000000f4450000)
                 tenured generation   total 174784K, used 24K [0x00000000f5550000, 0x0000000100000000, 0x0000000100000000)
                 Metaspace       used 20000K, committed 20480K, reserved 1114112K
                """.trimIndent()
            RouterProcess.heapBytes(info) shouldBe 1024L * 1024
        }

        test("heap information of another collector is an error") {
            shouldThrow<IllegalStateException> {
                RouterProcess.heapBytes(
                    "garbage-first heap   total 262144K, used 1000K",
                )
            }
        }
    })
