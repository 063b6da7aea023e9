package io.limpetfold.gateway.observe

import org.slf4j.LoggerFactory
import org.slf4j.event.Level
import org.slf4j.spi.LoggingEventBuilder

/** Logs one structured line for each decision: the event name as message, and the inputs and the outcome as fields. */
class DecisionLog(
    name: String,
) {
    private val logger = LoggerFactory.getLogger(name)

    /** Logs a decision of normal operation. */
    fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(logger.atLevel(Level.INFO), event, fields)

    /** Logs a decision that needs an operator's attention. */
    fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(logger.atLevel(Level.WARN), event, fields)

    private fun write(
        builder: LoggingEventBuilder,
        event: String,
        fields: Array<out Pair<String, Any?>>,
    ) {
        var line = builder
        for ((key, value) in fields) if (value != null) line = line.addKeyValue(key, value)
        line.log(event)
    }
}
