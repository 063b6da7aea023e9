package io.limpetfold.router

import com.github.ajalt.clikt.core.main

/** Starts a router; `--help` lists the options. */
fun main(args: Array<String>) = RouterCommand().main(args)
