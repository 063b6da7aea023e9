package io.limpetfold.quarantine

/** Receives the changes of a [PromptPartQuarantine], for logs. */
interface QuarantineListener {
    /** Calls that contain [part] are refused from now on; [crashes] is 0 if another router reported the quarantine. */
    fun onQuarantined(
        part: String,
        crashes: Int,
    ) = Unit

    /** A call that contains [part] was answered, so such calls are sent again. */
    fun onReleased(part: String) = Unit

    companion object {
        val NONE: QuarantineListener = object : QuarantineListener {}
    }
}
