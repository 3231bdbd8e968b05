package org.sesamedeck.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Bytes that arrive in parts, kept in blocks. Neither many small parts nor growth take more than
 * one block beyond the bytes received.
 */
public final class ByteBlocks {
    private static final int MIN_BLOCK_BYTES = 1_024;
    private static final int MAX_BLOCK_BYTES = 64 * 1_024;

    private final List<byte[]> mBlocks = new ArrayList<>(1);
    private final long mDeclaredBytes;
    private int mSize;
    private int mCapacity;

    private ByteBlocks(long declaredBytes) {
        mDeclaredBytes = declaredBytes;
    }

    /**
     * Returns blocks without bytes.
     *
     * @param declaredBytes the announced size; 0 if it is not known
     */
    public static ByteBlocks create(long declaredBytes) {
        return new ByteBlocks(declaredBytes);
    }

    /** Returns the number of bytes added. */
    public int size() {
        return mSize;
    }

    /** Returns the memory of the blocks in bytes. */
    public int capacity() {
        return mCapacity;
    }

    /** Returns by how much the capacity would grow if so many bytes were added. */
    public int growth(int bytes) {
        int missing = mSize + bytes - mCapacity;
        return missing <= 0 ? 0 : Math.max(missing, nextBlockBytes());
    }

    private int nextBlockBytes() {
        int doubled = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, mCapacity));
        long undeclared = mDeclaredBytes - mCapacity;
        return undeclared > 0 ? (int) Math.min(undeclared, doubled) : doubled;
    }

    /** Adds a part of an array. */
    public void add(byte[] bytes, int offset, int length) {
        int growth = growth(length);
        int part = Math.min(mCapacity - mSize, length);
        if (part > 0) {
            byte[] last = mBlocks.get(mBlocks.size() - 1);
            System.arraycopy(bytes, offset, last, last.length - (mCapacity - mSize), part);
        }
        if (growth > 0) {
            byte[] block = new byte[growth];
            System.arraycopy(bytes, offset + part, block, 0, length - part);
            mBlocks.add(block);
            mCapacity += growth;
        }
        mSize += length;
    }

    /** Returns the blocks; those bytes of the last one that are beyond the size have no meaning. */
    public List<byte[]> blocks() {
        return mBlocks;
    }

    /** Returns all bytes in one array. */
    public byte[] toByteArray() {
        byte[] all = new byte[mSize];
        int copied = 0;
        for (byte[] block : mBlocks) {
            int part = Math.min(block.length, mSize - copied);
            System.arraycopy(block, 0, all, copied, part);
            copied += part;
        }
        return all;
    }
}
