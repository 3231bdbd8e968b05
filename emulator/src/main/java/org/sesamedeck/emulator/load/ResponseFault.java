package org.sesamedeck.emulator.load;

/** Fault found in a response. */
public enum ResponseFault {
    /** The response ended before its last token. */
    TRUNCATED,
    /** A chunk of text arrived twice, or data followed the end marker. */
    DUPLICATED,
    /** The text does not belong to this request. */
    FOREIGN
}
