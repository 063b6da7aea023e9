package io.limpetfold.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import io.limpetfold.measure.budgets.BudgetsCommand
import io.limpetfold.measure.heads.HeadsCommand
import io.limpetfold.measure.limits.LimitsCommand
import io.limpetfold.measure.moves.MovesCommand
import io.limpetfold.measure.overhead.OverheadCommand
import io.limpetfold.measure.slopes.SlopesCommand
import io.limpetfold.measure.slowreaders.SlowReadersCommand

/** Runs the measurement that the first argument names. */
fun main(args: Array<String>) =
    MeasureProgram()
        .subcommands(
            BudgetsCommand(),
            HeadsCommand(),
            LimitsCommand(),
            MovesCommand(),
            OverheadCommand(),
            SlopesCommand(),
            SlowReadersCommand(),
        ).main(args)

private class MeasureProgram : CliktCommand(name = "measure") {
    override fun run() = Unit
}
