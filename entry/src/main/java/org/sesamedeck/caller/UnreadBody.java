package org.sesamedeck.caller;

import jakarta.servlet.ServletInputStream;
import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.time.Duration;
import org.sesamedeck.core.Clock;

/**
 * The part of a request body that was not read when the response was decided.
 *
 * <p>A connection cannot be reused while such bytes are outstanding: the next request on it would
 * begin in the middle of them. The response therefore has to say that the connection closes. The
 * connection must not be closed at once either, because closing it while bytes arrive resets it,
 * and a reset discards a response that the caller has not read yet.
 */
final class UnreadBody {
    private static final int CHUNK_BYTES = 8 * 1024;

    /** Limits how long the rest of a body is discarded after the response. */
    private static final Duration MAX_DISCARD_TIME = Duration.ofSeconds(5);

    /** Limits how much of a body is discarded after the response; more is not worth the traffic. */
    private static final long MAX_DISCARDED_BYTES = 32L << 20;

    private UnreadBody() {}

    /**
     * Returns whether part of the body has not arrived. Bytes that have arrived are discarded, and
     * this never waits for further ones.
     */
    static boolean isOutstanding(HttpServletRequest request) {
        if (!hasBody(request)) {
            return false;
        }
        try {
            ServletInputStream body = request.getInputStream();
            byte[] chunk = new byte[CHUNK_BYTES];
            long discarded = 0;
            while (!body.isFinished() && body.available() > 0 && discarded < MAX_DISCARDED_BYTES) {
                discarded += Math.max(0, body.read(chunk));
            }
            return !body.isFinished();
        } catch (IOException | IllegalStateException unreadable) {
            return true;
        }
    }

    /**
     * Discards the rest of the body after the response has been sent, until its end or a limit of
     * time or size is reached. Returns early when the caller closes the connection or sends nothing
     * for the connection's idle timeout.
     */
    static void discard(HttpServletRequest request, Clock clock) {
        if (!hasBody(request)) {
            return;
        }
        long deadlineNanos = clock.nanoTime() + MAX_DISCARD_TIME.toNanos();
        long discarded = 0;
        byte[] chunk = new byte[CHUNK_BYTES];
        try {
            ServletInputStream body = request.getInputStream();
            while (discarded < MAX_DISCARDED_BYTES && clock.nanoTime() < deadlineNanos) {
                int count = body.read(chunk);
                if (count < 0) {
                    return;
                }
                discarded += count;
            }
        } catch (IOException | IllegalStateException unreadable) {
            // The caller has closed the connection or stopped sending, so nothing is left to read.
            return;
        }
    }

    private static boolean hasBody(HttpServletRequest request) {
        return request.getContentLengthLong() > 0 || request.getHeader("Transfer-Encoding") != null;
    }
}
