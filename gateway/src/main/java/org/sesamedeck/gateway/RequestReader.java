package org.sesamedeck.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.time.Duration;
import org.sesamedeck.request.TrafficLimits;

/**
 * Assembles the requests of one connection from the parts that the HTTP decoder passes on, and
 * reserves memory for them. A large body is read only when there is memory for all of it.
 */
final class RequestReader {
    static final int STATUS_UNAVAILABLE = 503;

    /** Memory for header fields is reserved in steps, so that an ordinary head takes one. */
    private static final int HEAD_STEP_BYTES = 8 * 1_024;

    /** A longer head may have a line that the decoder keeps in a buffer up to the limit. */
    private static final int SHORT_HEAD_BYTES = 2 * 1_024;

    /** While others wait, a body must arrive within this many seconds. */
    private static final int MAX_BODY_SECONDS = 16;

    private static final Duration RATE_WINDOW = Duration.ofSeconds(1);

    private final CallerServer mServer;
    private final ConnectionMemory mMemory;
    private final Listener mListener;
    private HttpRequest mHead;
    private RequestBody mBody;
    private int mReservedBytes;
    private int mFieldBytes;
    private int mFieldReservedBytes;
    private int mHeadWireBytes;
    private boolean mHasReservedLine;
    private long mLargeBytes;
    private boolean mIsAwaitingAdmission;
    private boolean mIsAdmitted;
    private long mWindowStartNanos;
    private long mWindowBytes;

    /** Receives what becomes of the parts. */
    interface Listener {
        /** Refuses a request whose body need not be awaited, and returns whether it did. */
        boolean refusesBody(HttpRequest head);

        /** A head was received; its body follows. */
        void bodyBegins();

        /** The body may be sent now. */
        void continueBody(HttpRequest head);

        /** The request must not be read further before {@link RequestReader#tryAdmit} succeeds. */
        void admissionNeeded();

        /** A request is complete. */
        void received(ReceivedRequest request);

        /** The request is not valid or finds no room; it is answered with the status. */
        void refused(int status, String message);
    }

    private RequestReader(CallerServer server, ConnectionMemory memory, Listener listener) {
        mServer = server;
        mMemory = memory;
        mListener = listener;
    }

    /** Returns a reader that waits for a head. */
    static RequestReader create(CallerServer server, ConnectionMemory memory, Listener listener) {
        return new RequestReader(server, memory, listener);
    }

    /** Returns whether a head was received whose body is not complete. */
    boolean isReadingBody() {
        return mHead != null;
    }

    /** Counts bytes that are about to be decoded. */
    void bytesReceived(int bytes) {
        if (mHead != null) {
            return;
        }
        mHeadWireBytes += bytes;
        if (mHeadWireBytes > SHORT_HEAD_BYTES && !mHasReservedLine) {
            mHasReservedLine = mMemory.tryReserve(mServer.limits().headerBytes());
            if (!mHasReservedLine) {
                refuseForMemory();
            }
        }
    }

    /** Counts a header field that the decoder has read. */
    void fieldReceived(int bytes) {
        mFieldBytes += bytes;
        if (mFieldBytes > mFieldReservedBytes) {
            if (!tryReserve(HEAD_STEP_BYTES)) {
                throw new OutOfCallerMemoryException();
            }
            mFieldReservedBytes += HEAD_STEP_BYTES;
        }
    }

    private boolean tryReserve(int bytes) {
        if (!mMemory.tryReserve(bytes)) {
            return false;
        }
        mReservedBytes += bytes;
        return true;
    }

    /** Reads one part. */
    void read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            refuseMalformed(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest head) {
            readHead(head);
        }
        if (part instanceof HttpContent content && mHead != null) {
            readContent(content);
        }
    }

    private void refuseMalformed(Throwable cause) {
        if (cause instanceof OutOfCallerMemoryException) {
            refuseForMemory();
            return;
        }
        boolean isTooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        mListener.refused(isTooLong ? 431 : 400, String.valueOf(cause.getMessage()));
    }

    /** The request has not been sent to an endpoint, which status 503 promises. */
    void refuseForMemory() {
        mListener.refused(STATUS_UNAVAILABLE, "memory for requests is used up");
    }

    private void readHead(HttpRequest head) {
        mHeadWireBytes = 0;
        if (isAmbiguous(head)) {
            mListener.refused(400, "length of the body is ambiguous");
            return;
        }
        TrafficLimits limits = mServer.limits();
        long declaredBytes = HttpUtil.getContentLength(head, 0L);
        if (declaredBytes > limits.bodyBytes()) {
            refuseTooLarge(limits);
            return;
        }
        boolean hasBody = declaredBytes > 0 || HttpUtil.isTransferEncodingChunked(head);
        if (hasBody && mListener.refusesBody(head)) {
            return;
        }
        mHead =
                new DefaultHttpRequest(
                        head.protocolVersion(), head.method(), head.uri(), head.headers());
        mBody = RequestBody.create(declaredBytes);
        mListener.bodyBegins();
        if (declaredBytes > CallerMemory.LARGE_BYTES) {
            awaitAdmission(declaredBytes);
        } else {
            mListener.continueBody(mHead);
        }
    }

    private void refuseTooLarge(TrafficLimits limits) {
        mListener.refused(413, "body is larger than " + limits.bodyBytes() + " bytes");
    }

    /**
     * Returns whether the head gives more than one length for the body, or none that can be
     * determined. Such a request could hide a second one in its body (request smuggling).
     */
    private static boolean isAmbiguous(HttpRequest head) {
        boolean hasEncoding = head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        int lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        return lengths > 1
                || hasEncoding && lengths > 0
                || hasEncoding && !HttpUtil.isTransferEncodingChunked(head);
    }

    private void awaitAdmission(long bytes) {
        mLargeBytes = bytes;
        mIsAwaitingAdmission = true;
        mListener.admissionNeeded();
    }

    /** Returns whether the body waits for {@link #tryAdmit}. */
    boolean isAwaitingAdmission() {
        return mIsAwaitingAdmission;
    }

    /** Asks for memory for the large body; if there is none, {@link #admitted} follows. */
    boolean tryAdmit() {
        boolean isAdmitted = mMemory.admit(mLargeBytes);
        if (isAdmitted) {
            admitted();
        }
        return isAdmitted;
    }

    /** There is memory for the large body. */
    void admitted() {
        mIsAwaitingAdmission = false;
        mIsAdmitted = true;
        mWindowStartNanos = mServer.clock().nanoTime();
        mWindowBytes = 0;
        mListener.continueBody(mHead);
    }

    /** Lets the body follow that was announced during the request before. */
    void continueBody() {
        mListener.continueBody(mHead);
    }

    /** Returns whether the large body arrives too slowly to keep others waiting. */
    boolean isSlow(long nowNanos) {
        double seconds = (nowNanos - mWindowStartNanos) / 1e9;
        if (mHead == null || seconds < RATE_WINDOW.toSeconds()) {
            return false;
        }
        boolean isSlow = mWindowBytes * MAX_BODY_SECONDS < mLargeBytes * seconds;
        mWindowStartNanos = nowNanos;
        mWindowBytes = 0;
        return isSlow;
    }

    private void readContent(HttpContent content) {
        ByteBuf bytes = content.content();
        int size = mBody.size() + bytes.readableBytes();
        if (size > mServer.limits().bodyBytes()) {
            refuseTooLarge(mServer.limits());
            return;
        }
        if (size > CallerMemory.LARGE_BYTES && !mIsAdmitted && !mIsAwaitingAdmission) {
            awaitAdmission(mServer.limits().bodyBytes());
        }
        int growth = mBody.growth(bytes.readableBytes());
        if (growth > 0 && !mIsAdmitted && !tryReserve(growth)) {
            refuseForMemory();
            return;
        }
        mWindowBytes += bytes.readableBytes();
        mBody.add(bytes);
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        if (mIsAwaitingAdmission) {
            // The last part of the body came with the one that made it large.
            mIsAwaitingAdmission = false;
            mMemory.cancelWait();
        }
        ReceivedRequest request = new ReceivedRequest(mHead, mBody, mReservedBytes);
        discard();
        mReservedBytes = 0;
        mFieldBytes = 0;
        mFieldReservedBytes = 0;
        mListener.received(request);
    }

    /** Releases the memory of a large body whose request has ended. */
    void requestEnded() {
        if (mIsAdmitted) {
            mIsAdmitted = false;
            mMemory.releaseLarge();
        }
    }

    /** Forgets the request that is being received. */
    void discard() {
        mHead = null;
        mBody = null;
    }
}
