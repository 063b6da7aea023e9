package io.limpetfold.membership

import io.limpetfold.core.Incarnation

/** What a step of the [MemberTable] found. */
internal sealed interface MemberChange {
    data class Joined(
        val member: Member,
    ) : MemberChange

    data class Silent(
        val member: Member,
    ) : MemberChange

    data class Ended(
        val incarnation: Incarnation,
    ) : MemberChange
}
