package io.limpetfold.ctl.status

import io.limpetfold.config.RouterStatus
import java.time.Duration
import java.time.Instant

/** Routers report once a minute; three times that allows for a slow platform. */
private val RECENT: Duration = Duration.ofMinutes(3)

/** Whether the router reported within the last minutes; an old report is no proof that it ended. */
internal fun RouterStatus.isRecent(now: Instant): Boolean = updatedAt.plus(RECENT) > now
