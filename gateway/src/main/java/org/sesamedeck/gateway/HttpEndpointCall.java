package org.sesamedeck.gateway;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.EndpointCall;

/** A request sent to an endpoint and its response. Confined to its event loop. */
final class HttpEndpointCall implements EndpointCall {
    /**
     * Maximum number of responses to earlier requests that are skipped; a further one is passed to
     * the listener and the connection is not reused.
     */
    private static final int MAX_SKIPPED_RESPONSES = 3;

    private final Clock mClock;
    private final HeaderCodec mHeaderCodec;
    private final FullHttpRequest mRequest;
    private final String mRequestIdentifier;
    private final Listener mListener;
    private Channel mChannel;
    private boolean mIsSent;
    private boolean mIsFinished;
    private int mSkippedResponses;

    /**
     * Receives the events of a call; like {@link org.sesamedeck.request.CallListener} but with
     * undecoded heads.
     */
    interface Listener {
        /** Returns whether the request may still be sent. */
        default boolean maySend() {
            return true;
        }

        /** The request was not sent: no byte of it was written. */
        void notSent(String cause);

        /** The head of the response has been received. */
        void headReceived(HttpResponse head, long receivedAtNanos);

        /** Receives bytes of the response body. */
        void body(byte[] bytes);

        /** The response is complete. */
        void ended();

        /** The call failed after the request was sent; the endpoint may have executed it. */
        void broken(String cause);

        /** The endpoint's side ended the connection after the request was sent. */
        void connectionLost(String cause);
    }

    HttpEndpointCall(
            Clock clock,
            HeaderCodec headerCodec,
            FullHttpRequest request,
            String requestIdentifier,
            Listener listener) {
        mClock = clock;
        mHeaderCodec = headerCodec;
        mRequest = request;
        mRequestIdentifier = requestIdentifier;
        mListener = listener;
    }

    void connecting(Channel channel) {
        mChannel = channel;
    }

    /**
     * Returns the request for writing and counts it as sent; null if the call was cancelled or the
     * endpoint must receive no requests any more.
     */
    FullHttpRequest takeRequest(Channel channel) {
        if (!mIsFinished && !mListener.maySend()) {
            notSent("the endpoint wants no requests");
        }
        if (mIsFinished) {
            return null;
        }
        mChannel = channel;
        mIsSent = true;
        return mRequest;
    }

    boolean isFinished() {
        return mIsFinished;
    }

    boolean isHeadRequest() {
        return mRequest.method().equals(HttpMethod.HEAD);
    }

    /** Returns whether the response belongs to an earlier request and must be skipped. */
    boolean shouldSkip(HttpResponse head) {
        return !mRequestIdentifier.isEmpty()
                && mHeaderCodec.belongsToOtherRequest(head, mRequestIdentifier)
                && ++mSkippedResponses <= MAX_SKIPPED_RESPONSES;
    }

    /** Returns the identifier of the request; empty if its response need not carry one. */
    String requestIdentifier() {
        return mRequestIdentifier;
    }

    /**
     * Returns whether a copy of this response could be told from the response to a later request. A
     * refusal without an identifier could not.
     */
    boolean isRecognizable(HttpResponse head) {
        return mRequestIdentifier.isEmpty()
                || head.status().code() < HttpResponseStatus.BAD_REQUEST.code()
                || mHeaderCodec.namesRequest(head, mRequestIdentifier);
    }

    void headReceived(HttpResponse head) {
        if (!mIsFinished) {
            mListener.headReceived(head, mClock.nanoTime());
        }
    }

    void body(byte[] bytes) {
        if (!mIsFinished) {
            mListener.body(bytes);
        }
    }

    void ended() {
        if (!mIsFinished) {
            mIsFinished = true;
            mListener.ended();
        }
    }

    void notSent(String cause) {
        if (!mIsFinished) {
            mIsFinished = true;
            mRequest.release();
            mListener.notSent(cause);
        }
    }

    void broken(String cause) {
        if (!mIsFinished) {
            mIsFinished = true;
            mListener.broken(cause);
        }
    }

    void connectionLost(String cause) {
        if (!mIsFinished) {
            mIsFinished = true;
            mListener.connectionLost(cause);
        }
    }

    /** Pauses or resumes reading the response, to apply back pressure from a slow receiver. */
    void setReading(boolean isReading) {
        if (mChannel != null && !mIsFinished) {
            mChannel.config().setAutoRead(isReading);
        }
    }

    @Override
    public boolean cancel() {
        if (mIsFinished) {
            return false;
        }
        mIsFinished = true;
        if (mChannel != null) {
            mChannel.close();
        }
        if (!mIsSent) {
            mRequest.release();
        }
        return !mIsSent;
    }
}
