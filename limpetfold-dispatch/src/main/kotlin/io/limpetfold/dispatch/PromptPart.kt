package io.limpetfold.dispatch

/** A part of a prompt that other requests may share; engines cache it when all parts before it are cached too. */
data class PromptPart(
    val id: String,
    val tokens: Int,
)
