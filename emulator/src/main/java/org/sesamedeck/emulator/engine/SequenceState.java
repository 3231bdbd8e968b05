package org.sesamedeck.emulator.engine;

/** State of a sequence; those from {@link #DONE} on are final. */
enum SequenceState {
    QUEUED,
    PREFILL,
    DECODE,
    DONE,
    CANCELLED,
    REFUSED
}
