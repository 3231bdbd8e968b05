package org.sesamedeck.caller;

/** The 64-bit FNV-1a hash of Fowler, Noll and Vo. */
final class FowlerNollVo {
    static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private FowlerNollVo() {}

    static long add(long hash, byte value) {
        return (hash ^ value) * PRIME;
    }
}
