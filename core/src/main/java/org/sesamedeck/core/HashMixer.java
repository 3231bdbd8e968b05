package org.sesamedeck.core;

/** Mixes the bits of hashes by which all processes rank names alike. */
public final class HashMixer {
    private HashMixer() {}

    /**
     * Returns the hash with well mixed bits, by the finalizer of MurmurHash3. The result never
     * changes: processes of different releases agree on rankings by it.
     */
    public static long mix(long hash) {
        long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
