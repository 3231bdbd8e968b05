package org.sesamedeck.request;

/**
 * A part of a prompt that other requests may contain as well.
 *
 * @param identifier identifies the content of the part
 * @param tokens length in tokens
 */
public record PromptPart(long identifier, int tokens) {
    /** Returns the part as logs show it, with the identifier in hexadecimal. */
    @Override
    public String toString() {
        return Long.toHexString(identifier) + ':' + tokens;
    }
}
