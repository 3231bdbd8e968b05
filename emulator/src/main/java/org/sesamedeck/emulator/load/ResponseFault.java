package org.sesamedeck.emulator.load;

/** Fault found in a response. */
public enum ResponseFault {
    /** The response ended before its last token. */
    TRUNCATED,
    /**
     * A chunk of text arrived twice, or there was more text than expected, or text or another end
     * marker followed the end marker.
     */
    DUPLICATED,
    /** The text differs from the response expected for this request. */
    FOREIGN
}
