package org.sesamedeck.emulator.bench;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;

/**
 * A persistent HTTP connection that requests one stream after another. It processes responses as
 * little as possible, so that the benchmark measures the server and not the client. Not
 * thread-safe.
 */
final class StreamConnection implements AutoCloseable {
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final int READ_TIMEOUT_MILLIS = 60_000;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final Clock mClock;
    private final Socket mSocket;
    private final InputStream mInput;
    private final OutputStream mOutput;
    private final byte[] mBuffer = new byte[BUFFER_BYTES];

    /** Number of leading bytes of {@link #DATA_FIELD} that the last bytes read match. */
    private int mMatchedBytes;

    /**
     * Measurements of one stream.
     *
     * @param firstByteNanos time from the request to the first byte of the body, in nanoseconds
     * @param events number of events, including the end marker
     */
    record Result(long firstByteNanos, int events) {}

    private StreamConnection(Clock clock, Socket socket) throws IOException {
        mClock = clock;
        mSocket = socket;
        mInput = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
        mOutput = socket.getOutputStream();
    }

    /** Opens a connection. */
    static StreamConnection open(Clock clock, HostAddress address) throws IOException {
        Socket socket = new Socket(address.address(), address.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return new StreamConnection(clock, socket);
    }

    /**
     * Sends a request and reads the full stream.
     *
     * @param request head and body of the request
     * @param onFirstByte called when the first byte of the body arrives
     * @throws IOException if the response is not a full stream with status 200
     */
    Result run(byte[] request, Runnable onFirstByte) throws IOException {
        long startNanos = mClock.nanoTime();
        mOutput.write(request);
        mOutput.flush();
        String status = readLine();
        if (!status.contains(" 200")) {
            throw new IOException("unexpected response: " + status + " " + readAvailable());
        }
        boolean isChunked = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            isChunked |= line.equalsIgnoreCase("transfer-encoding: chunked");
        }
        if (!isChunked) {
            throw new IOException("response does not use chunked transfer encoding");
        }
        long firstByteNanos = 0;
        int events = 0;
        mMatchedBytes = 0;
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            if (firstByteNanos == 0) {
                firstByteNanos = mClock.nanoTime() - startNanos;
                onFirstByte.run();
            }
            events += countEvents(size);
            readLine();
        }
        readLine();
        return new Result(firstByteNanos, events);
    }

    /** Returns the part of an error response that one read yields, for the exception message. */
    private String readAvailable() throws IOException {
        int read = mInput.read(mBuffer);
        return read <= 0 ? "" : new String(mBuffer, 0, read, StandardCharsets.UTF_8);
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine(), 16);
    }

    private int countEvents(int size) throws IOException {
        int events = 0;
        int remaining = size;
        while (remaining > 0) {
            int read = mInput.read(mBuffer, 0, Math.min(remaining, mBuffer.length));
            if (read < 0) {
                throw new EOFException("stream ended inside a chunk");
            }
            remaining -= read;
            for (int index = 0; index < read; index++) {
                mMatchedBytes = mBuffer[index] == DATA_FIELD[mMatchedBytes] ? mMatchedBytes + 1 : 0;
                if (mMatchedBytes == DATA_FIELD.length) {
                    events++;
                    mMatchedBytes = 0;
                }
            }
        }
        return events;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = mInput.read();
            if (next < 0) {
                throw new EOFException("connection closed inside a line");
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
