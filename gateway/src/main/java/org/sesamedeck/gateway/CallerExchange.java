package org.sesamedeck.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.request.CallListener;
import org.sesamedeck.request.CallOptions;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.EndpointCall;
import org.sesamedeck.request.ErrorResponse;
import org.sesamedeck.request.ProcessedPrompt;
import org.sesamedeck.request.RequestHandler;
import org.sesamedeck.request.RequestLifecycle;
import org.sesamedeck.request.RequestPort;
import org.sesamedeck.request.ResponseHead;
import org.sesamedeck.routing.EndpointDescription;

/** A caller's request and the response written to the caller's connection. */
final class CallerExchange implements RequestPort {
    /** Smaller responses are part of the memory of a connection, which has one at a time. */
    private static final int SMALL_RESPONSE_BYTES = 4 * 1_024;

    /** A caller of a stream who leaves more than this unread is disconnected. */
    private static final int MAX_UNREAD_BYTES = 1 << 20;

    /**
     * Read after each hold of a response that the caller leaves unread, so that two parts empty the
     * receive buffer and the endpoint sees progress.
     */
    private static final int PART_BYTES = 64 * 1_024;

    /** Objects that hold a part of a stream until it is written, in bytes. */
    private static final int PART_OVERHEAD_BYTES = 256;

    /** Well below the seconds after which an endpoint cuts off an unread response. */
    private static final Duration HOLD_TIME = Duration.ofSeconds(1);

    private final CallerConnection mConnection;
    private final ChannelHandlerContext mContext;
    private final HeaderCodec mHeaderCodec;
    private final EndpointClient mEndpointClient;
    private final HttpRequest mHead;
    private final RequestBody mBody;
    private final int mRequestBytes;
    private Optional<RequestLifecycle> mLifecycle = Optional.empty();
    private Optional<HttpEndpointCall> mCall = Optional.empty();
    private String mRequestIdentifier = "";
    private boolean mKeepsAlive;
    private boolean mHasUnreadBody;
    private boolean mIsFinished;
    private int mUnreadBytes;
    private int mPartBytes = PART_BYTES;
    private boolean mIsHoldingBack;

    CallerExchange(
            CallerConnection connection,
            ChannelHandlerContext context,
            HeaderCodec headerCodec,
            EndpointClient endpointClient,
            ReceivedRequest request) {
        mConnection = connection;
        mContext = context;
        mHeaderCodec = headerCodec;
        mEndpointClient = endpointClient;
        mHead = request.head();
        mBody = request.body();
        mRequestBytes = request.reservedBytes();
        mKeepsAlive = HttpUtil.isKeepAlive(mHead);
    }

    void start(RequestHandler requestHandler) {
        CallerRequest request;
        try {
            request = mHeaderCodec.decodeRequest(mHead);
        } catch (SesamedeckException malformed) {
            sendError(
                    new ErrorResponse(malformed.code(), malformed.getMessage(), Optional.empty()));
            return;
        }
        mRequestIdentifier = request.identifier();
        RequestLifecycle lifecycle = requestHandler.start(request, this);
        if (!lifecycle.isOver()) {
            mLifecycle = Optional.of(lifecycle);
        }
    }

    /** Refuses a request whose body has not arrived and closes the connection after it. */
    void refuseUnauthenticated(RequestHandler requestHandler, CallerRequest request) {
        mKeepsAlive = false;
        mHasUnreadBody = true;
        requestHandler.refuseUnauthenticated(request, this);
    }

    void callerLeft() {
        mIsFinished = true;
        mLifecycle.ifPresent(RequestLifecycle::callerLeft);
    }

    /** Returns the memory that the connection has reserved for the request. */
    int requestBytes() {
        return mRequestBytes;
    }

    /** Returns whether the response is complete and waits for the caller to read it. */
    boolean isWritingOut() {
        return mIsFinished;
    }

    /** Reads on from the endpoint, since the caller has read what it was sent. */
    void readOn() {
        mConnection.memory().release(mUnreadBytes);
        mUnreadBytes = 0;
        setReading(true);
    }

    private void setReading(boolean isReading) {
        mCall.ifPresent(call -> call.setReading(isReading));
    }

    /**
     * Holds the endpoint's response back because the caller has not read what it was sent. An
     * endpoint cuts off a response that stays unread for some seconds, so a part of it is read from
     * time to time, until the caller has used up its memory.
     */
    private void holdBack(int bytes) {
        boolean isReserved =
                mUnreadBytes + bytes <= MAX_UNREAD_BYTES && mConnection.memory().tryReserve(bytes);
        if (!isReserved) {
            mConnection.close();
            return;
        }
        mUnreadBytes += bytes;
        mPartBytes += bytes;
        if (mPartBytes < PART_BYTES) {
            return;
        }
        setReading(false);
        if (!mIsHoldingBack) {
            mIsHoldingBack = true;
            mContext.executor().schedule(this::readPart, HOLD_TIME.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void readPart() {
        mIsHoldingBack = false;
        mPartBytes = 0;
        if (!mIsFinished) {
            setReading(true);
        }
    }

    @Override
    public EndpointCall send(
            EndpointDescription endpoint, CallOptions options, CallListener listener) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        mHead.method(),
                        mHead.uri(),
                        mBody.toBuffer(),
                        mHeaderCodec.endpointHeaders(mHead, endpoint, options),
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        if (mBody.size() > 0 || mHead.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, mBody.size());
        }
        HttpEndpointCall call =
                mEndpointClient.send(
                        endpoint.address(),
                        request,
                        mRequestIdentifier,
                        new CallListenerAdapter(mHeaderCodec, mRequestIdentifier, listener));
        mCall = Optional.of(call);
        return call;
    }

    @Override
    public Optional<String> processedPromptHandle(ResponseHead head, byte[] body) {
        return mHeaderCodec.decodeProcessedPromptHandle(body);
    }

    @Override
    public void release(ProcessedPrompt prompt) {
        mEndpointClient.delete(
                prompt.endpoint().address(),
                mHeaderCodec.releasePath(prompt),
                new IgnoredResponseListener());
    }

    @Override
    public void respond(ResponseHead head, byte[] body) {
        if (body.length > SMALL_RESPONSE_BYTES) {
            if (!mConnection.memory().tryReserve(body.length)) {
                abort();
                return;
            }
            mUnreadBytes = body.length;
        }
        HttpResponse received = (HttpResponse) head.transportHead();
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        received.status(),
                        Unpooled.wrappedBuffer(body),
                        mHeaderCodec.callerHeaders(received),
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        int status = received.status().code();
        if (status != 204 && status != 304) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        writeFullResponse(response);
    }

    @Override
    public void beginStream(ResponseHead head) {
        HttpResponse received = (HttpResponse) head.transportHead();
        HttpHeaders headers = mHeaderCodec.callerHeaders(received);
        if (mHead.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            mKeepsAlive = false;
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
        }
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, received.status(), headers);
        announceClose(response);
        mContext.write(response);
    }

    @Override
    public void streamEvents(byte[] bytes) {
        mContext.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        if (!mContext.channel().isWritable()) {
            holdBack(bytes.length + PART_OVERHEAD_BYTES);
        }
    }

    @Override
    public void endStream() {
        finish(mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void sendError(ErrorResponse error) {
        byte[] body = errorBody(error);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(error.code().httpStatus()),
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        error.retryAfter()
                .ifPresent(
                        delay ->
                                response.headers()
                                        .set(HttpHeaderNames.RETRY_AFTER, seconds(delay)));
        writeFullResponse(response);
    }

    private static byte[] errorBody(ErrorResponse error) {
        String text = error.code().number() + " " + error.message() + "\n";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String seconds(Duration delay) {
        return String.format(Locale.ROOT, "%.2f", delay.toMillis() / 1e3);
    }

    @Override
    public void abort() {
        mIsFinished = true;
        mContext.close();
    }

    private void writeFullResponse(FullHttpResponse response) {
        announceClose(response);
        finish(mContext.writeAndFlush(response));
    }

    private void announceClose(HttpResponse response) {
        mKeepsAlive &= !mConnection.isStopping();
        if (!mKeepsAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
    }

    private void finish(ChannelFuture written) {
        if (mIsFinished) {
            return;
        }
        mIsFinished = true;
        if (mHasUnreadBody) {
            mConnection.closeAfter(written);
        } else if (!mKeepsAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        // Deferred, so that a request that is refused synchronously ends before the next one
        // starts.
        written.addListener(done -> mContext.executor().execute(this::end));
        if (!written.isDone()) {
            mConnection.responseIsUnread();
        }
    }

    private void end() {
        mConnection.memory().release(mUnreadBytes);
        mUnreadBytes = 0;
        mConnection.exchangeEnded(this, mKeepsAlive);
    }
}
