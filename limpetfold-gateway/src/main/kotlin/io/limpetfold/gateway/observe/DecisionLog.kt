package io.limpetfold.gateway.observe

import org.slf4j.LoggerFactory
import org.slf4j.event.Level
import org.slf4j.spi.LoggingEventBuilder

/** Writes one structured line for each decision: a name as message, and its inputs and outcome as fields. */
class DecisionLog(
    name: String,
) {
    private val logger = LoggerFactory.getLogger(name)

    /** Logs a decision of ordinary operation. */
    fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(logger.atLevel(Level.INFO), event, fields)

    /** Logs a decision that an operator should look at. */
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
