package io.limpetfold.rollout

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.limpetfold.core.RouteId
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import io.limpetfold.store.Versioned
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.SerializationException
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/**
 * The operators' commands on moves.
 *
 * Each command is one conditional update. If two commands race, the error of the losing one names the operator of the
 * other and its time.
 */
class MoveCommands(
    private val store: ObjectStore,
    private val clock: InstantSource,
) {
    /** Starts a move; refused while another move runs on the route. Idempotent for the same id. */
    suspend fun start(request: MoveRequest): Result<MoveRecord, MoveError> {
        val now = clock.instant()
        val duration = Duration.between(now, request.deadline)
        validationError(request, duration)?.let { return Err(MoveError.Invalid(it)) }
        val position = store.list(MoveRecord.key(request.route).path).map { it.position }
        val era = position.getOrElse { return Err(MoveError.Store(it)) }.era
        val record =
            MoveRecord(
                id = request.id,
                route = request.route,
                oldVersion = request.oldVersion,
                newVersion = request.newVersion,
                operator = request.operator,
                startedAtMillis = now.toEpochMilli(),
                deadlineMillis = request.deadline.toEpochMilli(),
                plan = MovePlan.create(request.preset, duration),
                phase = MovePhase.Running(0),
                changedBy = request.operator,
                changedAtMillis = now.toEpochMilli(),
                era = era,
            )
        return update(request.route, isApplied = { it.id == request.id }) { current ->
            when {
                current == null -> Change.Write(record)
                current.id == request.id -> Change.Keep
                current.phaseAt(now.toEpochMilli()).isFinal -> Change.Write(record)
                else -> Change.Refuse(alreadyRunning(current))
            }
        }
    }

    /** Rolls back the running move [id] of [route]. */
    suspend fun takeBack(
        route: RouteId,
        id: MoveId,
        operator: String,
    ): Result<MoveRecord, MoveError> {
        val nowMillis = clock.millis()
        val phase = MovePhase.TakenBack(TakeBackReason.Operator(operator))
        return update(route, isApplied = { it.id == id && it.phase == phase }) { current ->
            when {
                current?.id != id -> Change.Refuse(MoveError.NotFound(route))
                current.phase.isFinal -> Change.Refuse(alreadyEnded(current))
                else -> Change.Write(current.copy(phase = phase, changedBy = operator, changedAtMillis = nowMillis))
            }
        }
    }

    /** Reads the latest move of [route]; null if there is none. */
    suspend fun read(route: RouteId): Result<MoveRecord?, MoveError> =
        TypedObject(store, MoveRecord.key(route), MoveRecord.serializer())
            .read()
            .map { it.value }
            .mapError { MoveError.Store(it) }

    /** Reads the latest move of each route. */
    suspend fun list(): Result<ImmutableList<MoveRecord>, MoveError> =
        readMoves(store)
            .map { read -> read.moves.mapNotNull { it.value }.toImmutableList() }
            .mapError { MoveError.Store(it) }

    private suspend fun update(
        route: RouteId,
        isApplied: (MoveRecord) -> Boolean,
        change: (MoveRecord?) -> Change<MoveRecord, MoveError>,
    ): Result<MoveRecord, MoveError> =
        TypedObject(store, MoveRecord.key(route), MoveRecord.serializer())
            .update(isApplied, change = change)
            .map { checkNotNull(it.value) }
            .mapError { error ->
                when (error) {
                    is UpdateError.Refused -> error.reason
                    is UpdateError.Failed -> MoveError.Store(error.error)
                }
            }

    private fun validationError(
        request: MoveRequest,
        duration: Duration,
    ): String? =
        when {
            !ROUTE_PATTERN.matches(
                request.route.value,
            ) -> "route '${request.route}' has characters outside [A-Za-z0-9._@-]; rename it"
            request.oldVersion == request.newVersion ->
                "old and new version are both ${request.newVersion}; choose two different versions"
            duration < MovePlan.MIN_DURATION ->
                "the deadline is less than ${MovePlan.MIN_DURATION.toSeconds()} s away; choose a later deadline"
            else -> null
        }

    private fun alreadyRunning(record: MoveRecord) =
        MoveError.AlreadyRunning(record.id, record.operator, Instant.ofEpochMilli(record.startedAtMillis))

    private fun alreadyEnded(record: MoveRecord) =
        MoveError.AlreadyEnded(record.id, record.phase, record.changedBy, Instant.ofEpochMilli(record.changedAtMillis))

    internal companion object {
        private val ROUTE_PATTERN = Regex("[A-Za-z0-9._@-]+")

        /**
         * Reads all moves with their object versions.
         *
         * Moves that this release cannot decode, because a newer release wrote them, are omitted.
         */
        suspend fun readMoves(store: ObjectStore) =
            store.list(MoveRecord.PREFIX).map { page ->
                val moves =
                    page.objects.mapNotNull { stored ->
                        try {
                            Versioned(
                                TypedObject.JSON.decodeFromString(MoveRecord.serializer(), stored.value),
                                stored.version,
                            )
                        } catch (_: SerializationException) {
                            null
                        }
                    }
                StoredMoves(moves, page.position.era)
            }
    }
}
