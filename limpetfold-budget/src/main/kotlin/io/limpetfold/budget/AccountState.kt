package io.limpetfold.budget

/** Whether a local account may still reserve tokens. */
enum class AccountState {
    /** Tokens can be reserved and exchanged. */
    OPEN,

    /** A close is under way: nothing can be reserved or exchanged, and the spend is final. */
    CLOSING,

    /** The entry is closed in the ledger. */
    CLOSED,

    /** Another party reclaimed the entry, so nothing can be reserved any more. */
    ENDED,
}
