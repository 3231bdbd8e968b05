package org.sesamedeck.gateway;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;

/**
 * A connection to an endpoint. It is reused only after a response that ended cleanly with no excess
 * bytes after it, and only if a late copy of that response could be told from the next one. Bytes
 * that arrive while no request is outstanding close it, since they belong to no request.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    /** Used when the endpoint does not announce a keep-alive timeout. */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(3);

    /** A request in flight must arrive before the endpoint closes the connection. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(600);

    private static final Duration MAX_KEEP_ALIVE = Duration.ofSeconds(20);

    /** An endpoint that sends more interim responses (1xx) than this is not making progress. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private final EndpointClient mClient;
    private final Clock mClock;
    private final HostAddress mAddress;
    private final EndpointResponseDecoder mDecoder = new EndpointResponseDecoder();
    private ChannelHandlerContext mContext;
    private HttpEndpointCall mCall;
    private String mLastIdentifier = "";
    private boolean mIsSkipped;
    private boolean mIsInterim;
    private int mInterimResponses;
    private boolean mKeepsAlive = true;
    private boolean mIsFinished;
    private boolean mIsClosed;
    private long mIdleSinceNanos;
    private long mKeepAliveNanos = DEFAULT_KEEP_ALIVE.toNanos();

    EndpointConnection(EndpointClient client, Clock clock, HostAddress address) {
        mClient = client;
        mClock = clock;
        mAddress = address;
    }

    HostAddress address() {
        return mAddress;
    }

    EndpointResponseDecoder decoder() {
        return mDecoder;
    }

    /**
     * Returns whether a request sent now would arrive well before the endpoint closes the
     * connection.
     */
    boolean isReusable() {
        return !mIsClosed
                && mContext.channel().isActive()
                && mClock.nanoTime() - mIdleSinceNanos
                        < mKeepAliveNanos - KEEP_ALIVE_MARGIN.toNanos();
    }

    void close() {
        mIsClosed = true;
        mContext.close();
    }

    /**
     * Returns whether a late copy of the last response could be taken for the response to a request
     * with the identifier.
     */
    boolean mayConfuse(String requestIdentifier) {
        return !requestIdentifier.isEmpty() && requestIdentifier.equals(mLastIdentifier);
    }

    /** Sends the call's request, unless the call has been cancelled. */
    void begin(HttpEndpointCall call) {
        FullHttpRequest request = call.takeRequest(mContext.channel());
        if (request == null) {
            mIdleSinceNanos = mClock.nanoTime();
            mClient.returnIdle(this);
            return;
        }
        mCall = call;
        mLastIdentifier = call.requestIdentifier();
        mIsFinished = false;
        mInterimResponses = 0;
        mDecoder.expectResponse(call.isHeadRequest());
        mContext.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                lose("writing: " + written.cause());
                            }
                        });
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mCall == null || mIsFinished || mIsClosed) {
                close();
                return;
            }
            HttpObject part = (HttpObject) message;
            if (part.decoderResult().isFailure()) {
                endMalformed(part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpResponse head) {
                readHead(head);
            }
            if (mCall != null && part instanceof HttpContent content) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void endMalformed(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            lose("connection closed within the head of the answer");
        } else {
            fail("answer is not HTTP: " + cause.getMessage());
        }
    }

    private void readHead(HttpResponse head) {
        mIsInterim = head.status().code() < 200;
        if (mIsInterim) {
            if (++mInterimResponses > MAX_INTERIM_RESPONSES) {
                fail("more than " + MAX_INTERIM_RESPONSES + " interim responses");
            }
            return;
        }
        mIsSkipped = mCall.shouldSkip(head);
        if (mIsSkipped) {
            mKeepsAlive = false;
            return;
        }
        mKeepsAlive &=
                HttpUtil.isKeepAlive(head)
                        && !ResponseFraming.endsWithConnection(head)
                        && mCall.isRecognizable(head);
        readKeepAlive(head.headers().get("Keep-Alive"));
        mCall.headReceived(head);
    }

    private void readKeepAlive(String value) {
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value == null ? "" : value);
        if (matcher.find()) {
            Duration announced = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
            mKeepAliveNanos = Math.min(MAX_KEEP_ALIVE.toNanos(), announced.toNanos());
        }
    }

    private void readContent(HttpContent content) {
        if (!mIsInterim && !mIsSkipped && content.content().isReadable()) {
            mCall.body(ByteBufUtil.getBytes(content.content()));
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (mIsInterim || mIsSkipped) {
            mDecoder.expectResponse(mCall.isHeadRequest());
            return;
        }
        mIsFinished = true;
        mCall.ended();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mCall == null || mIsClosed) {
            return;
        }
        if (mIsFinished) {
            mCall = null;
            if (mKeepsAlive && !mDecoder.hasExcessBytes() && context.channel().isActive()) {
                context.channel().config().setAutoRead(true);
                mIdleSinceNanos = mClock.nanoTime();
                mClient.returnIdle(this);
            } else {
                close();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mIsClosed = true;
        lose("connection closed before the answer was whole");
        mClient.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            lose("connection failed: " + cause.getMessage());
        } else {
            fail("connection failed: " + cause.getMessage());
        }
    }

    private void fail(String cause) {
        endCall(call -> call.broken(cause));
    }

    /** Ends the call because the endpoint's side has ended the connection. */
    private void lose(String cause) {
        endCall(call -> call.connectionLost(cause));
    }

    private void endCall(Consumer<HttpEndpointCall> end) {
        HttpEndpointCall call = mCall;
        mCall = null;
        mIsClosed = true;
        if (call != null && !mIsFinished) {
            end.accept(call);
        }
        mContext.close();
    }
}
