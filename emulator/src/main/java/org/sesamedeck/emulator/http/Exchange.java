package org.sesamedeck.emulator.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;

/** An HTTP request and its response. Confined to the event loop of the server. */
public final class Exchange {
    private final Channel mChannel;
    private final long mAcceptedNanos;
    private final String mMethod;
    private final String mPath;
    private final QueryStringDecoder mQuery;
    private final FullHttpRequest mRequest;
    private final String mBody;
    private final boolean mIsKeepAlive;
    private final io.netty.handler.codec.http.HttpHeaders mResponseHeaders =
            new io.netty.handler.codec.http.DefaultHttpHeaders();
    private Runnable mCloseTask = () -> {};
    private boolean mIsStreaming;
    private boolean mIsDone;

    private Exchange(Channel channel, long acceptedNanos, FullHttpRequest request) {
        mChannel = channel;
        mAcceptedNanos = acceptedNanos;
        mRequest = request;
        mMethod = request.method().name();
        mQuery = new QueryStringDecoder(request.uri());
        mPath = mQuery.path();
        mBody = request.content().toString(StandardCharsets.UTF_8);
        mIsKeepAlive = HttpUtil.isKeepAlive(request);
    }

    static Exchange of(Channel channel, long acceptedNanos, FullHttpRequest request) {
        return new Exchange(channel, acceptedNanos, request);
    }

    /** Returns the method in upper case. */
    public String method() {
        return mMethod;
    }

    /** Returns the decoded path. */
    public String path() {
        return mPath;
    }

    /** Returns the undecoded path and query. */
    public String uri() {
        return mRequest.uri();
    }

    /**
     * Returns the part of the path after a prefix; empty if the path does not start with the prefix
     * or nothing follows it.
     */
    public Optional<String> pathAfter(String prefix) {
        return mPath.startsWith(prefix) && mPath.length() > prefix.length()
                ? Optional.of(mPath.substring(prefix.length()))
                : Optional.empty();
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> query(String name) {
        List<String> values = mQuery.parameters().get(name);
        return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
    }

    /**
     * Returns a query parameter as a number.
     *
     * @throws NumberFormatException if it is malformed; the server responds with status 400
     */
    public long queryNumber(String name, long defaultValue) {
        return query(name).map(Long::parseLong).orElse(defaultValue);
    }

    /** Returns a request header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.headers().get(name));
    }

    /** Returns all request headers. */
    public Iterable<java.util.Map.Entry<String, String>> headers() {
        return mRequest.headers();
    }

    /** Returns the full request body as text. */
    public String body() {
        return mBody;
    }

    /** Returns when the connection was accepted, on the server's clock, in nanoseconds. */
    public long acceptedNanos() {
        return mAcceptedNanos;
    }

    /** Returns the event loop on which the response must be sent. */
    public ScheduledExecutorService eventLoop() {
        return mChannel.eventLoop();
    }

    /** Sets a response header; has no effect once the response has started. */
    public Exchange withHeader(String name, Object value) {
        mResponseHeaders.set(name, String.valueOf(value));
        return this;
    }

    /** Returns whether the response has started or the connection is closed. */
    public boolean isResponseStarted() {
        return mIsDone || mIsStreaming || !mChannel.isActive();
    }

    /** Responds with a JSON body. */
    public void respond(int status, JsonNode body) {
        respond(status, "application/json", body.toString());
    }

    /** Responds with a JSON error object that has a name and a message. */
    public void respondError(int status, String name, String message) {
        com.fasterxml.jackson.databind.node.ObjectNode error = Json.object();
        error.putObject("error").put("name", name).put("message", message);
        respond(status, error);
    }

    /** Responds without a body. */
    public void respondEmpty(int status) {
        respond(status, "", "");
    }

    /** Responds with a full body; has no effect once the response has started. */
    public void respond(int status, String contentType, String body) {
        if (mIsDone || mIsStreaming) {
            return;
        }
        mIsDone = true;
        ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        response.headers().set(mResponseHeaders);
        if (status != 204) {
            HttpUtil.setContentLength(response, content.readableBytes());
        }
        if (!contentType.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        HttpUtil.setKeepAlive(response, mIsKeepAlive);
        io.netty.channel.ChannelFuture written = mChannel.writeAndFlush(response);
        if (!mIsKeepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Starts a chunked response; has no effect once the response has started. */
    public void startStream(int status, String contentType) {
        if (mIsDone || mIsStreaming) {
            return;
        }
        mIsStreaming = true;
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(mResponseHeaders);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        HttpUtil.setTransferEncodingChunked(response, true);
        HttpUtil.setKeepAlive(response, mIsKeepAlive);
        mChannel.write(response);
    }

    /** Sends a chunk of a chunked response. */
    public void write(String chunk) {
        if (mIsStreaming && !mIsDone) {
            mChannel.writeAndFlush(
                    new DefaultHttpContent(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8)));
        }
    }

    /** Ends a chunked response. */
    public void endStream() {
        if (mIsStreaming && !mIsDone) {
            mIsDone = true;
            io.netty.channel.ChannelFuture written =
                    mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            if (!mIsKeepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }

    /** Closes the connection without completing the response. */
    public void abort() {
        mIsDone = true;
        mChannel.close();
    }

    /**
     * Runs the task if the connection closes before the response is complete; immediately if the
     * connection is already closed.
     */
    public void onClose(Runnable task) {
        if (mChannel.isActive()) {
            mCloseTask = task;
        } else {
            task.run();
        }
    }

    /** Called when the connection is closed. */
    void onChannelClosed() {
        // The close task is skipped after the end of the response: it would otherwise keep the
        // request alive as long as a pooled connection.
        if (!mIsDone) {
            mIsDone = true;
            mCloseTask.run();
        }
    }
}
