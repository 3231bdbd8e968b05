package org.sesamedeck.routing.quarantine;

import java.util.Locale;

/**
 * A prompt part for one model. The same part may be sound for another model.
 *
 * @param targetHash hash of the routing target, the service with its model
 * @param identifier identifies the content of the part
 */
public record PartKey(int targetHash, long identifier) {
    /** Returns the key of a part of prompts for a routing target. */
    public static PartKey of(String target, long identifier) {
        return new PartKey(target.hashCode(), identifier);
    }

    /** Returns the identifier in hexadecimal, as callers send it. */
    public String partName() {
        return Long.toHexString(identifier).toLowerCase(Locale.ROOT);
    }
}
