package org.sesamedeck.routing;

/** Turns the bits of a hash into a number. */
final class HashFraction {
    private static final double FRACTION_OF_53_BITS = 0x1p-53;

    private HashFraction() {}

    /** Returns the highest 53 bits of a mixed hash as a fraction, uniform from 0 to 1. */
    static double of(long hash) {
        return (hash >>> 11) * FRACTION_OF_53_BITS;
    }
}
