package io.limpetfold.budget

/** The state of a local account, which decides whether it can reserve tokens. */
enum class AccountState {
    /** Tokens can be reserved and exchanged. */
    OPEN,

    /** The account is being closed: nothing can be reserved or exchanged, and the spend is final. */
    CLOSING,

    /** The entry is closed in the ledger. */
    CLOSED,

    /** The ledger entry was reclaimed by an operator or a later process, so nothing can be reserved. */
    ENDED,
}
