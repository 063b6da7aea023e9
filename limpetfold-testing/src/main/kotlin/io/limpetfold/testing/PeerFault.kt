package io.limpetfold.testing

/** What a [FakePeerHub] does with one message. */
enum class PeerFault {
    /** The message and its reply arrive. */
    NONE,

    /** The message never arrives. */
    REQUEST_LOST,

    /** The message arrives and its reply is lost. */
    REPLY_LOST,
}
