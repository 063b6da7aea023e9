package io.limpetfold.config

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialInfo

/** The inclusive range of a field, in the notation of the settings files: `1`, `250ms`, `64KiB`. */
@OptIn(ExperimentalSerializationApi::class)
@SerialInfo
@Target(AnnotationTarget.PROPERTY)
annotation class AllowedRange(
    val min: String,
    val max: String,
)
