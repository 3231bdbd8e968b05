package org.sesamedeck.emulator.engine;

/** Receives notifications about the progress of sequences, on the event loop. */
interface SequenceListener {
    /** Called after a token was generated or the state changed to a final one. */
    void onProgress(Sequence sequence);
}
