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
    private final CallerConnection mConnection;
    private final ChannelHandlerContext mContext;
    private final HeaderCodec mHeaderCodec;
    private final EndpointClient mEndpointClient;
    private final HttpRequest mHead;
    private final byte[] mBody;
    private Optional<RequestLifecycle> mLifecycle = Optional.empty();
    private Optional<HttpEndpointCall> mCall = Optional.empty();
    private String mRequestIdentifier = "";
    private boolean mKeepsAlive;
    private boolean mHasUnreadBody;
    private boolean mIsFinished;

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

    /**
     * Pauses or resumes reading the endpoint's response, to apply back pressure from a slow caller.
     */
    void setReading(boolean isReading) {
        mCall.ifPresent(call -> call.setReading(isReading));
    }

    @Override
    public EndpointCall send(
            EndpointDescription endpoint, CallOptions options, CallListener listener) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        mHead.method(),
                        mHead.uri(),
                        Unpooled.wrappedBuffer(mBody),
                        mHeaderCodec.endpointHeaders(mHead, endpoint, options),
                        DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        if (mBody.length > 0 || mHead.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, mBody.length);
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
            setReading(false);
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
        mContext.executor().execute(() -> mConnection.exchangeEnded(this, mKeepsAlive));
    }
}
