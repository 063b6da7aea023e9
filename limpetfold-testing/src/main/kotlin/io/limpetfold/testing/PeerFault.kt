package io.limpetfold.testing

/** What a [FakePeerHub] does with one request and its reply. */
enum class PeerFault {
    /** The request and its reply arrive. */
    NONE,

    /** The request never arrives. */
    REQUEST_LOST,

    /** The request arrives, and its reply is lost. */
    REPLY_LOST,
}
