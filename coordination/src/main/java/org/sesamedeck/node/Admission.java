package org.sesamedeck.node;

/**
 * Whether this node may admit new requests.
 *
 * @param isAdmitting whether new requests may be admitted
 * @param reason why new requests are refused; empty while admitting
 */
public record Admission(boolean isAdmitting, String reason) {
    /** Returns a result that admits new requests. */
    public static Admission granted() {
        return new Admission(true, "");
    }

    /** Returns a result that refuses new requests for the given reason. */
    public static Admission refused(String reason) {
        return new Admission(false, reason);
    }
}
