package org.sesamedeck.daemon.caller;

/** What a connection of a caller is doing. */
enum CallerState {
    /** No request is in progress; part of a head may have arrived. */
    IDLE,
    /** A request is in progress and does not wait for its caller. */
    SERVING,
    /** The request waits for more of its body. */
    RECEIVING,
    /** The request waits until the caller has read part of its response. */
    SENDING,
    /** The connection was closed, by the caller or by the ledger. */
    ENDED;

    boolean isTransfer() {
        return this == RECEIVING || this == SENDING;
    }
}
