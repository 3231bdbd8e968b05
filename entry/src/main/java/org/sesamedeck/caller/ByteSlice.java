package org.sesamedeck.caller;

/**
 * A part of an array that is not copied.
 *
 * @param array the array
 * @param offset index of the first byte
 * @param length number of bytes
 */
record ByteSlice(byte[] array, int offset, int length) {
    byte get(int index) {
        return array[offset + index];
    }

    /** Returns the hash of the bytes. */
    long hash() {
        long hash = FowlerNollVo.OFFSET;
        for (int i = 0; i < length; i++) {
            hash = FowlerNollVo.add(hash, get(i));
        }
        return hash;
    }
}
