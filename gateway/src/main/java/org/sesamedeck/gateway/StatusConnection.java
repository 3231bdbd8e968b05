package org.sesamedeck.gateway;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection to the status server. It is closed when its peer sends a body beyond the limit or
 * further requests without waiting for the response in progress or reading the earlier ones.
 */
final class StatusConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_BODY_BYTES = 8 * 1_024;

    private final StatusServer mServer;
    private ChannelHandlerContext mContext;
    private HttpRequest mHead;
    private int mBodyBytes;
    private int mHeadBytes;
    private boolean mIsResponding;
    private boolean mHasResponded;

    StatusConnection(StatusServer server) {
        mServer = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mServer.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseHead();
        mServer.connectionClosed(this);
    }

    /** Counts a header field that the decoder has read. */
    void fieldReceived(int bytes) {
        if (!mServer.tryReserveHead(this, bytes)) {
            throw new OutOfCallerMemoryException();
        }
        mHeadBytes += bytes;
    }

    /** Returns the memory that is reserved for the head in progress. */
    int headBytes() {
        return mHeadBytes;
    }

    /** Gives up the head in progress and closes the connection. */
    void drop() {
        releaseHead();
        close();
    }

    private void releaseHead() {
        mServer.releaseHead(mHeadBytes);
        mHeadBytes = 0;
    }

    /** Returns whether a request has been answered, as for a load balancer that comes again. */
    boolean hasResponded() {
        return mHasResponded;
    }

    void close() {
        mContext.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            HttpObject part = (HttpObject) message;
            if (part.decoderResult().isFailure()
                    || mIsResponding
                    || !context.channel().isWritable()) {
                context.close();
                return;
            }
            if (part instanceof HttpRequest head) {
                mHead = head;
                mBodyBytes = 0;
            }
            if (part instanceof HttpContent content && mHead != null) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readContent(HttpContent content) {
        mBodyBytes += content.content().readableBytes();
        if (mBodyBytes > MAX_BODY_BYTES) {
            close();
        } else if (content instanceof LastHttpContent) {
            respond();
        }
    }

    private void respond() {
        String uri = mHead.uri();
        boolean keepsAlive = HttpUtil.isKeepAlive(mHead);
        mHead = null;
        releaseHead();
        mIsResponding = true;
        mServer.responseFor(uri).thenAccept(response -> send(response, keepsAlive));
    }

    private void send(FullHttpResponse response, boolean keepsAlive) {
        mIsResponding = false;
        mHasResponded = true;
        if (!keepsAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        var written = mContext.writeAndFlush(response);
        if (!keepsAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
