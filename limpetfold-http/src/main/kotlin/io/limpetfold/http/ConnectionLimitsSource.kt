package io.limpetfold.http

/** Provides the [ConnectionLimits] in force; called often and from any thread. */
fun interface ConnectionLimitsSource {
    /** Returns the limits that apply from now on. */
    fun current(): ConnectionLimits
}
