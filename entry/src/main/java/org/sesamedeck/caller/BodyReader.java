package org.sesamedeck.caller;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;

/**
 * Reads request bodies into memory within limits of size, time and total memory. Memory is reserved
 * by the block before the block is read, so that a body in tiny pieces takes no more than its size.
 */
final class BodyReader {
    private static final int FIRST_BLOCK_BYTES = 2 * 1024;
    private static final int BLOCK_BYTES = 16 * 1024;

    private final Clock mClock;
    private final long mMaxBytes;
    private final Duration mTimeout;

    private BodyReader(Clock clock, long maxBytes, Duration timeout) {
        mClock = clock;
        mMaxBytes = maxBytes;
        mTimeout = timeout;
    }

    static BodyReader of(Clock clock, long maxBytes, Duration timeout) {
        return new BodyReader(clock, maxBytes, timeout);
    }

    /**
     * Reads a body to its end. A body whose announced length exceeds the limit is refused before
     * any of it is read.
     *
     * @param announcedBytes length that the caller announced; negative when it did not
     * @param memory memory of the request; the size of the body remains reserved
     * @throws CallerException with REQUEST_TOO_LARGE, REQUEST_TIMEOUT, OVERLOADED or BAD_REQUEST
     */
    byte[] read(InputStream body, long announcedBytes, RequestMemory memory) {
        if (announcedBytes > mMaxBytes) {
            throw tooLargeException();
        }
        // The body and its copy, as far as their size is known.
        memory.expect(2 * Math.max(0, announcedBytes));
        List<byte[]> blocks = new ArrayList<>();
        int size;
        try {
            size = readBlocks(body, blocks, memory);
        } catch (IOException failure) {
            throw failureOf(failure);
        }
        long blockBytes = blocks.stream().mapToLong(block -> block.length).sum();
        memory.reserve(size);
        byte[] bytes = new byte[size];
        int position = 0;
        for (byte[] block : blocks) {
            int length = Math.min(block.length, size - position);
            System.arraycopy(block, 0, bytes, position, length);
            position += length;
        }
        memory.release(blockBytes);
        return bytes;
    }

    /** Reads a body into blocks, all of which but the last are full, and returns its size. */
    private int readBlocks(InputStream body, List<byte[]> blocks, RequestMemory memory)
            throws IOException {
        long deadlineNanos = mClock.nanoTime() + mTimeout.toNanos();
        int size = 0;
        byte[] block = new byte[0];
        int used = 0;
        while (true) {
            if (used == block.length) {
                int length = blocks.isEmpty() ? FIRST_BLOCK_BYTES : BLOCK_BYTES;
                memory.reserve(length);
                block = new byte[length];
                blocks.add(block);
                used = 0;
            }
            int count = body.read(block, used, block.length - used);
            if (count < 0) {
                return size;
            }
            used += count;
            size += count;
            if (size > mMaxBytes) {
                throw tooLargeException();
            }
            if (mClock.nanoTime() > deadlineNanos) {
                throw timeoutException();
            }
        }
    }

    /** Maps a failed read from the caller to REQUEST_TIMEOUT or BAD_REQUEST. */
    CallerException failureOf(IOException failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof TimeoutException) {
                return timeoutException();
            }
        }
        return CallerException.of(ResultCode.BAD_REQUEST, "the body ended early");
    }

    private CallerException tooLargeException() {
        return CallerException.of(
                ResultCode.REQUEST_TOO_LARGE, "the body is larger than " + mMaxBytes + " bytes");
    }

    private CallerException timeoutException() {
        return CallerException.of(
                ResultCode.REQUEST_TIMEOUT,
                "the body did not arrive within " + mTimeout.toMillis() + " ms");
    }
}
