package io.limpetfold.publish

import kotlin.system.exitProcess

/** Runs `limpetfold-publish`. */
suspend fun main(args: Array<String>) {
    exitProcess(PublishProgram(::connect).execute(args.toList()))
}

private fun connect(settings: PublishSettings): Platform = TODO("platform client: ${settings.platformUrl}")
