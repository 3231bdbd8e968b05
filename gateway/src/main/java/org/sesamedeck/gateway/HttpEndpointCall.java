package org.sesamedeck.gateway;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.EndpointCall;

/** One request on its way to an endpoint and back. Confined to its event loop. */
final class HttpEndpointCall implements EndpointCall {
    /** Answers to earlier requests that are passed over before the connection is given up. */
    private static final int MAX_FOREIGN_ANSWERS = 3;

    private final Clock mClock;
    private final CallerFormat mFormat;
    private final FullHttpRequest mRequest;
    private final String mRequestIdentifier;
    private final Listener mListener;
    private Channel mChannel;
    private boolean mIsSent;
    private boolean mIsOver;
    private int mForeignAnswers;

    /** Receives what becomes of a call; {@link org.sesamedeck.request.CallListener} with bytes. */
    interface Listener {
        /** No byte has left. */
        void notSent(String cause);

        /** The head of the answer has arrived. */
        void answered(HttpResponse head, long receivedAtNanos);

        /** Bytes of the body. */
        void body(byte[] bytes);

        /** The answer is whole. */
        void ended();

        /** The call broke; the request may have run. */
        void broken(String cause);
    }

    HttpEndpointCall(
            Clock clock,
            CallerFormat format,
            FullHttpRequest request,
            String requestIdentifier,
            Listener listener) {
        mClock = clock;
        mFormat = format;
        mRequest = request;
        mRequestIdentifier = requestIdentifier;
        mListener = listener;
    }

    void connecting(Channel channel) {
        mChannel = channel;
    }

    /** Takes the request for writing; null when the call was cancelled before. */
    FullHttpRequest takeRequest(Channel channel) {
        if (mIsOver) {
            return null;
        }
        mChannel = channel;
        mIsSent = true;
        return mRequest;
    }

    boolean isOver() {
        return mIsOver;
    }

    boolean isHead() {
        return mRequest.method().equals(HttpMethod.HEAD);
    }

    /** Returns whether the answer belongs to an earlier request and is to be passed over. */
    boolean isForeign(HttpResponse head) {
        return !mRequestIdentifier.isEmpty()
                && mFormat.belongsToOther(head, mRequestIdentifier)
                && ++mForeignAnswers <= MAX_FOREIGN_ANSWERS;
    }

    void answered(HttpResponse head) {
        if (!mIsOver) {
            mListener.answered(head, mClock.nanoTime());
        }
    }

    void body(byte[] bytes) {
        if (!mIsOver) {
            mListener.body(bytes);
        }
    }

    void ended() {
        if (!mIsOver) {
            mIsOver = true;
            mListener.ended();
        }
    }

    void notSent(String cause) {
        if (!mIsOver) {
            mIsOver = true;
            mRequest.release();
            mListener.notSent(cause);
        }
    }

    void broken(String cause) {
        if (!mIsOver) {
            mIsOver = true;
            mListener.broken(cause);
        }
    }

    /** Stops or resumes reading the answer, while its receiver is slow. */
    void setReading(boolean isReading) {
        if (mChannel != null && !mIsOver) {
            mChannel.config().setAutoRead(isReading);
        }
    }

    @Override
    public boolean cancel() {
        if (mIsOver) {
            return false;
        }
        mIsOver = true;
        if (mChannel != null) {
            mChannel.close();
        }
        if (!mIsSent) {
            mRequest.release();
        }
        return !mIsSent;
    }
}
