package io.limpetfold.rollout

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
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

/** The operators' commands on moves. Each is one conditional update; the loser of a race is told who won and when. */
class MoveCommands(
    private val store: ObjectStore,
    private val clock: InstantSource,
) {
    /** Starts a move; refused while another one runs on the route. */
    suspend fun start(order: MoveRequest): Result<MoveRecord, MoveError> {
        val now = clock.instant()
        val duration = Duration.between(now, order.deadline)
        invalid(order, duration)?.let { return Err(MoveError.Invalid(it)) }
        val record =
            MoveRecord(
                id = order.id,
                route = order.route,
                oldVersion = order.oldVersion,
                newVersion = order.newVersion,
                operator = order.operator,
                startedAtMillis = now.toEpochMilli(),
                deadlineMillis = order.deadline.toEpochMilli(),
                plan = MovePlan.create(order.preset, duration),
                phase = MovePhase.Running(0),
                changedBy = order.operator,
                changedAtMillis = now.toEpochMilli(),
            )
        return update(order.route, isApplied = { it.id == order.id }) { current ->
            when {
                current == null -> Change.Write(record)
                current.id == order.id -> Change.Keep
                current.phaseAt(now.toEpochMilli()).isFinal -> Change.Write(record)
                else -> Change.Refuse(running(current))
            }
        }
    }

    /** Rolls the running move [id] of [route] back. */
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
                current.phase.isFinal -> Change.Refuse(ended(current))
                else -> Change.Write(current.copy(phase = phase, changedBy = operator, changedAtMillis = nowMillis))
            }
        }
    }

    /** Reads the latest move of [route]; null when there was none. */
    suspend fun read(route: RouteId): Result<MoveRecord?, MoveError> =
        TypedObject(store, MoveRecord.key(route), MoveRecord.serializer())
            .read()
            .map { it.value }
            .mapError { MoveError.Store(it) }

    /** Reads the latest move of each route. */
    suspend fun list(): Result<ImmutableList<MoveRecord>, MoveError> =
        readMoves(store)
            .map { moves -> moves.mapNotNull { it.value }.toImmutableList() }
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

    private fun invalid(
        order: MoveRequest,
        duration: Duration,
    ): String? =
        when {
            !ROUTE_PATTERN.matches(order.route.value) -> "route '${order.route}' has characters outside [A-Za-z0-9._@-]; rename it"
            order.oldVersion == order.newVersion -> "old and new version are both ${order.newVersion}; name two versions"
            duration < MovePlan.LEAST_DURATION ->
                "the deadline is less than ${MovePlan.LEAST_DURATION.toSeconds()} s away; choose a later deadline"
            else -> null
        }

    private fun running(record: MoveRecord) =
        MoveError.AlreadyRunning(record.id, record.operator, Instant.ofEpochMilli(record.startedAtMillis))

    private fun ended(record: MoveRecord) =
        MoveError.AlreadyEnded(record.id, record.phase, record.changedBy, Instant.ofEpochMilli(record.changedAtMillis))

    internal companion object {
        private val ROUTE_PATTERN = Regex("[A-Za-z0-9._@-]+")

        /** Reads all moves with their versions; a move that a newer program wrote and this one can't decode is left out. */
        suspend fun readMoves(store: ObjectStore) =
            store.list(MoveRecord.PREFIX).map { page ->
                page.objects.mapNotNull { stored ->
                    try {
                        Versioned(TypedObject.JSON.decodeFromString(MoveRecord.serializer(), stored.value), stored.version)
                    } catch (_: SerializationException) {
                        null
                    }
                }
            }
    }
}
