package org.sesamedeck.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.RequestHandler;
import org.sesamedeck.request.TrafficLimits;

/**
 * A caller's connection. Requests are processed one at a time, in order. A request starts only when
 * its body is complete, so that it can be retried on another endpoint. Closing the connection ends
 * the request in progress.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /**
     * Maximum number of pipelined requests that wait while another one is in progress; the
     * connection of a caller that sends more is closed.
     */
    private static final int MAX_PIPELINED = 16;

    /** A caller that opens a connection sends its first request well within this time. */
    private static final Duration FIRST_REQUEST_TIME = Duration.ofMillis(500);

    /** A caller that has read the response to the end closes its side within this time. */
    private static final Duration DISCARD_TIME = Duration.ofMillis(500);

    private final CallerServer mServer;
    private final HeaderCodec mHeaderCodec;
    private final RequestHandler mRequestHandler;
    private final EndpointClient mEndpointClient;
    private final ArrayDeque<ReceivedRequest> mPipelined = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private Optional<CallerExchange> mExchange = Optional.empty();
    private Optional<Future<?>> mTimer = Optional.empty();
    private HttpRequest mHead;
    private ByteArrayOutputStream mBody;
    private long mOpenedAtNanos;
    private boolean mHasReceived;
    private boolean mIsReadingHead;
    private boolean mIgnoresInput;
    private Optional<Runnable> mPendingRefusal = Optional.empty();

    CallerConnection(
            CallerServer server,
            HeaderCodec headerCodec,
            RequestHandler requestHandler,
            EndpointClient endpointClient) {
        mServer = server;
        mHeaderCodec = headerCodec;
        mRequestHandler = requestHandler;
        mEndpointClient = endpointClient;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mOpenedAtNanos = mServer.clock().nanoTime();
        mServer.connectionOpened(this);
        waitForRequest();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.connectionClosed(this);
        cancelTimer();
        mPipelined.clear();
        mExchange.ifPresent(CallerExchange::callerLeft);
        mExchange = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        boolean isWritable = context.channel().isWritable();
        mExchange.ifPresent(exchange -> exchange.setReading(isWritable));
    }

    /**
     * Starts the header timeout when the first bytes of a request arrive, before they are decoded.
     */
    void bytesReceived() {
        mHasReceived = true;
        if (mExchange.isEmpty() && mHead == null && !mIsReadingHead && !mIgnoresInput) {
            mIsReadingHead = true;
            schedule(mServer.limits().headerTimeout(), () -> refuseAndClose(408, "head is late"));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mIgnoresInput) {
                return;
            }
            HttpObject part = (HttpObject) message;
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
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void refuseMalformed(Throwable cause) {
        boolean isTooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        refuseAndClose(isTooLong ? 431 : 400, String.valueOf(cause.getMessage()));
    }

    private void readHead(HttpRequest head) {
        mIsReadingHead = false;
        if (isAmbiguous(head)) {
            refuseAndClose(400, "length of the body is ambiguous");
            return;
        }
        TrafficLimits limits = mServer.limits();
        if (HttpUtil.getContentLength(head, 0L) > limits.bodyBytes()) {
            refuseAndClose(413, "body is larger than " + limits.bodyBytes() + " bytes");
            return;
        }
        if (mRequestHandler.requiresKeys() && hasBody(head) && refuseIfUnauthenticated(head)) {
            return;
        }
        mHead =
                new DefaultHttpRequest(
                        head.protocolVersion(), head.method(), head.uri(), head.headers());
        mBody = new ByteArrayOutputStream();
        if (mExchange.isEmpty()) {
            schedule(limits.idleTimeout(), () -> refuseAndClose(408, "body is late"));
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
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

    private static boolean hasBody(HttpRequest head) {
        return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0;
    }

    /**
     * Refuses a request without a valid key before its body arrives. Whether the caller still sends
     * the body is not known, so that what follows cannot be read as a request and the connection is
     * closed.
     */
    private boolean refuseIfUnauthenticated(HttpRequest head) {
        CallerRequest request;
        try {
            request = mHeaderCodec.decodeRequest(head);
        } catch (SesamedeckException malformed) {
            return false; // Refused as malformed when the request is complete.
        }
        if (!mRequestHandler.isUnauthenticated(request)) {
            return false;
        }
        mIgnoresInput = true;
        ReceivedRequest received = new ReceivedRequest(head, new byte[0]);
        if (mExchange.isPresent()) {
            mPendingRefusal = Optional.of(() -> writeUnauthenticated(received, request));
        } else {
            writeUnauthenticated(received, request);
        }
        return true;
    }

    private void writeUnauthenticated(ReceivedRequest received, CallerRequest request) {
        cancelTimer();
        CallerExchange exchange =
                new CallerExchange(this, mContext, mHeaderCodec, mEndpointClient, received);
        mExchange = Optional.of(exchange);
        exchange.refuseUnauthenticated(mRequestHandler, request);
    }

    /**
     * Closes the connection once the response has been written. Input that still arrives is
     * discarded for a while: closing with unread input resets the connection, and the caller could
     * lose the response.
     */
    void closeAfter(ChannelFuture written) {
        written.addListener(
                future -> {
                    mIgnoresInput = true;
                    if (mContext.channel() instanceof DuplexChannel channel) {
                        channel.shutdownOutput();
                    }
                    schedule(DISCARD_TIME, this::close);
                });
    }

    private void readContent(HttpContent content) {
        ByteBuf bytes = content.content();
        if (mBody.size() + bytes.readableBytes() > mServer.limits().bodyBytes()) {
            refuseAndClose(413, "body is larger than " + mServer.limits().bodyBytes() + " bytes");
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        mBody.writeBytes(copy);
        if (content instanceof LastHttpContent) {
            ReceivedRequest request = new ReceivedRequest(mHead, mBody.toByteArray());
            mHead = null;
            mBody = null;
            receive(request);
        }
    }

    private void receive(ReceivedRequest request) {
        if (mPipelined.size() >= MAX_PIPELINED) {
            close();
            return;
        }
        mPipelined.add(request);
        if (mExchange.isEmpty()) {
            startNext();
        }
    }

    private void startNext() {
        cancelTimer();
        ReceivedRequest request = mPipelined.poll();
        if (request == null) {
            waitForRequest();
            return;
        }
        CallerExchange exchange =
                new CallerExchange(this, mContext, mHeaderCodec, mEndpointClient, request);
        mExchange = Optional.of(exchange);
        exchange.start(mRequestHandler);
    }

    /** Returns whether responses must announce that the connection will be closed. */
    boolean isStopping() {
        return mServer.isStopping();
    }

    /** Called when the response has been written. */
    void exchangeEnded(CallerExchange exchange, boolean keepsAlive) {
        if (mExchange.isEmpty() || mExchange.get() != exchange) {
            return;
        }
        mExchange = Optional.empty();
        if (keepsAlive && mPipelined.isEmpty() && mPendingRefusal.isPresent()) {
            mPendingRefusal.get().run();
        } else if (keepsAlive) {
            startNext();
        } else {
            mIgnoresInput = true;
        }
    }

    private void waitForRequest() {
        mIsReadingHead = false;
        schedule(mServer.limits().idleTimeout(), this::close);
    }

    private void schedule(Duration delay, Runnable action) {
        cancelTimer();
        mTimer =
                Optional.of(
                        mContext.executor()
                                .schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    private void cancelTimer() {
        mTimer.ifPresent(timer -> timer.cancel(false));
        mTimer = Optional.empty();
    }

    /** Refuses invalid input and closes the connection, after any response in progress. */
    private void refuseAndClose(int status, String message) {
        if (mIgnoresInput) {
            return;
        }
        mIgnoresInput = true;
        if (mExchange.isPresent()) {
            mPendingRefusal = Optional.of(() -> writeRefusal(status, message));
        } else {
            writeRefusal(status, message);
        }
    }

    private void writeRefusal(int status, String message) {
        cancelTimer();
        byte[] body = message.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        mContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Closes the connection unless a request is in progress, being received, or may be on its way
     * because the connection is new.
     */
    void closeIfIdle(long nowNanos) {
        boolean isNew = !mHasReceived && nowNanos - mOpenedAtNanos < FIRST_REQUEST_TIME.toNanos();
        if (mExchange.isEmpty() && mHead == null && !mIsReadingHead && !isNew) {
            close();
        }
    }

    void close() {
        mContext.close();
    }
}
