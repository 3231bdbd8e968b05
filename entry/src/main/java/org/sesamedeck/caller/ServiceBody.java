package org.sesamedeck.caller;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Optional;

/**
 * Body of a request to a plain service: either buffered in memory, so that it can be sent again, or
 * streamed once.
 */
final class ServiceBody {
    private static final int CHUNK_BYTES = 16 * 1024;

    private final Optional<byte[]> mBuffered;
    private final Optional<Long> mStreamedLength;
    private final InputStream mStream;
    private boolean mIsStarted;

    private ServiceBody(
            Optional<byte[]> buffered, Optional<Long> streamedLength, InputStream stream) {
        mBuffered = buffered;
        mStreamedLength = streamedLength;
        mStream = stream;
    }

    static ServiceBody none() {
        return new ServiceBody(Optional.empty(), Optional.empty(), InputStream.nullInputStream());
    }

    static ServiceBody buffered(byte[] bytes) {
        return new ServiceBody(Optional.of(bytes), Optional.empty(), InputStream.nullInputStream());
    }

    /** Returns a body that is read once; the length is -1 when it is unknown. */
    static ServiceBody streamed(InputStream stream, long length) {
        return new ServiceBody(Optional.empty(), Optional.of(length), stream);
    }

    Optional<byte[]> buffered() {
        return mBuffered;
    }

    Optional<Long> streamedLength() {
        return mStreamedLength;
    }

    /** Returns whether the complete body can still be sent. */
    boolean canBeSent() {
        return !mIsStarted;
    }

    /**
     * Copies a streamed body and closes the output.
     *
     * @throws CallerReadException when reading from the caller failed
     * @throws IOException when writing to the endpoint failed
     */
    void copyTo(OutputStream output) throws IOException {
        mIsStarted = true;
        byte[] chunk = new byte[CHUNK_BYTES];
        int count = read(chunk);
        while (count >= 0) {
            output.write(chunk, 0, count);
            count = read(chunk);
        }
        output.close();
    }

    private int read(byte[] chunk) throws CallerReadException {
        try {
            return mStream.read(chunk);
        } catch (IOException failure) {
            throw new CallerReadException(failure);
        }
    }

    /** Reading the body from the caller failed. */
    static final class CallerReadException extends IOException {
        private static final long serialVersionUID = 1L;

        private CallerReadException(IOException cause) {
            super(cause);
        }
    }
}
