package io.limpetfold.ctl.status

import io.limpetfold.config.RouterStatus
import java.time.Duration
import java.time.Instant

/** Routers report once a minute; three intervals allow for a slow platform. */
private val REPORT_TTL: Duration = Duration.ofMinutes(3)

/** Whether the router reported within the last three minutes; a stale report does not prove that its process ended. */
internal fun RouterStatus.isFresh(now: Instant): Boolean = updatedAt.plus(REPORT_TTL) > now
