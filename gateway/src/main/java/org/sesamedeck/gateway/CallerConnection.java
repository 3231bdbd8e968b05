package org.sesamedeck.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.RequestHandler;

/**
 * A caller's connection. Requests are processed one at a time, in order. A request starts only when
 * its body is complete, so that it can be retried on another endpoint. Closing the connection ends
 * the request in progress.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements MemoryHolder, RequestReader.Listener {
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
    private final ConnectionMemory mMemory;
    private final RequestReader mReader;
    private final InputGate mGate = new InputGate(this);
    private final ArrayDeque<ReceivedRequest> mPipelined = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private Optional<CallerExchange> mExchange = Optional.empty();
    private Optional<Future<?>> mTimer = Optional.empty();
    private long mLastProgressNanos;
    private long mLastUnreadBytes;
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
        mMemory = ConnectionMemory.create(server.memory(), this);
        mReader = RequestReader.create(server, mMemory, this);
    }

    ConnectionMemory memory() {
        return mMemory;
    }

    RequestReader reader() {
        return mReader;
    }

    InputGate gate() {
        return mGate;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mOpenedAtNanos = mServer.clock().nanoTime();
        mLastProgressNanos = mOpenedAtNanos;
        mMemory.open();
        waitForRequest();
        mServer.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.connectionClosed(this);
        cancelTimer();
        mExchange.ifPresent(CallerExchange::callerLeft);
        mExchange = Optional.empty();
        dropInput();
        mMemory.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            mExchange.ifPresent(CallerExchange::readOn);
        }
    }

    /**
     * Starts the header timeout when the first bytes of a request arrive, before they are decoded.
     */
    void bytesReceived(int bytes) {
        mHasReceived = true;
        mLastProgressNanos = mServer.clock().nanoTime();
        mReader.bytesReceived(bytes);
        if (mExchange.isEmpty() && !mReader.isReadingBody() && !mIsReadingHead && !mIgnoresInput) {
            mIsReadingHead = true;
            schedule(mServer.limits().headerTimeout(), () -> refused(408, "head is late"));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mIgnoresInput) {
                return;
            }
            mReader.read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Refuses a request without a valid key before its body arrives. Whether the caller still sends
     * the body is not known, so that what follows cannot be read as a request and the connection is
     * closed.
     */
    @Override
    public boolean refusesBody(HttpRequest head) {
        if (!mRequestHandler.requiresKeys()) {
            return false;
        }
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
        ReceivedRequest received = new ReceivedRequest(head, RequestBody.create(0), 0);
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
        mGate.ignoreInput();
        written.addListener(
                future -> {
                    mIgnoresInput = true;
                    if (mContext.channel() instanceof DuplexChannel channel) {
                        channel.shutdownOutput();
                    }
                    schedule(DISCARD_TIME, this::close);
                });
    }

    @Override
    public void bodyBegins() {
        mIsReadingHead = false;
        if (mExchange.isEmpty()) {
            schedule(mServer.limits().idleTimeout(), this::bodyIsLate);
        }
    }

    /** Refuses a body of which nothing has arrived, or been admitted, for the idle timeout. */
    private void bodyIsLate() {
        Duration idle = mServer.limits().idleTimeout();
        long idleNanos = mServer.clock().nanoTime() - mLastProgressNanos;
        if (mReader.isAwaitingAdmission()) {
            mReader.refuseForMemory();
        } else if (idleNanos < idle.toNanos()) {
            schedule(idle.minusNanos(idleNanos), this::bodyIsLate);
        } else {
            refused(408, "body is late");
        }
    }

    @Override
    public void continueBody(HttpRequest head) {
        // The response in progress comes first; see readBody.
        if (mExchange.isEmpty() && HttpUtil.is100ContinueExpected(head)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    @Override
    public void admissionNeeded() {
        if (mExchange.isPresent() || !mReader.tryAdmit()) {
            mGate.close();
        }
    }

    @Override
    public void admitted() {
        mReader.admitted();
        mGate.open();
    }

    @Override
    public boolean isSlow(long nowNanos) {
        return mExchange.isEmpty() && mReader.isSlow(nowNanos);
    }

    @Override
    public double reclaimWeight(long nowNanos) {
        if (mExchange.isPresent()) {
            if (!mExchange.get().isWritingOut()) {
                return 0;
            }
            noteWriteProgress(nowNanos);
        }
        return (double) mMemory.reclaimableBytes() * (1 + nowNanos - mLastProgressNanos);
    }

    private void noteWriteProgress(long nowNanos) {
        long unread = unreadBytes();
        if (unread != mLastUnreadBytes) {
            mLastUnreadBytes = unread;
            mLastProgressNanos = nowNanos;
        }
    }

    /** Returns the bytes of responses that wait for the caller to read. */
    private long unreadBytes() {
        ChannelOutboundBuffer output = mContext.channel().unsafe().outboundBuffer();
        return output == null ? 0 : output.totalPendingWriteBytes() - output.currentProgress();
    }

    @Override
    public void reclaim() {
        if (mExchange.isPresent() || mIgnoresInput) {
            close();
        } else {
            mReader.refuseForMemory();
        }
        dropInput();
        mMemory.close();
    }

    private void dropInput() {
        mPipelined.clear();
        mGate.discard();
        mReader.discard();
    }

    @Override
    public void received(ReceivedRequest request) {
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
        mGate.close();
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
        mMemory.release(exchange.requestBytes());
        mReader.requestEnded();
        if (!keepsAlive) {
            mIgnoresInput = true;
        } else if (!mPipelined.isEmpty()) {
            startNext();
        } else if (mPendingRefusal.isPresent()) {
            mPendingRefusal.get().run();
        } else if (mReader.isReadingBody()) {
            readBody();
        } else {
            startNext();
            mGate.open();
        }
    }

    /** Goes on with a request whose head was received during the one before. */
    private void readBody() {
        schedule(mServer.limits().idleTimeout(), this::bodyIsLate);
        if (!mReader.isAwaitingAdmission()) {
            mReader.continueBody();
            mGate.open();
        } else if (mReader.tryAdmit()) {
            mGate.open();
        }
    }

    /** Called when a complete response waits for the caller to read it. */
    void responseIsUnread() {
        mLastUnreadBytes = unreadBytes();
        mLastProgressNanos = mServer.clock().nanoTime();
        schedule(mServer.limits().idleTimeout(), this::closeIfUnread);
    }

    /** Closes a connection whose caller has read nothing of the response for the idle timeout. */
    private void closeIfUnread() {
        long unread = unreadBytes();
        if (mExchange.isPresent() && unread > 0 && unread == mLastUnreadBytes) {
            close();
        } else if (mExchange.isPresent()) {
            responseIsUnread();
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
    @Override
    public void refused(int status, String message) {
        if (mIgnoresInput) {
            return;
        }
        mIgnoresInput = true;
        mGate.discard();
        if (mExchange.isPresent()) {
            mPendingRefusal = Optional.of(() -> writeRefusal(status, message));
        } else {
            writeRefusal(status, message);
        }
    }

    private void writeRefusal(int status, String message) {
        cancelTimer();
        FullHttpResponse response = RefusalResponse.of(status, message);
        schedule(mServer.limits().idleTimeout(), this::close);
        closeAfter(mContext.writeAndFlush(response));
    }

    /**
     * Closes the connection unless a request is in progress, being received, or may be on its way
     * because the connection is new.
     */
    void closeIfIdle(long nowNanos) {
        if (isIdle() && !isNew(nowNanos)) {
            close();
        }
    }

    private boolean isNew(long nowNanos) {
        return !mHasReceived && nowNanos - mOpenedAtNanos < FIRST_REQUEST_TIME.toNanos();
    }

    /** Returns whether nothing is being received, in progress or being written. */
    private boolean isIdle() {
        return mExchange.isEmpty() && !mReader.isReadingBody() && !mIsReadingHead && !mIgnoresInput;
    }

    /** Returns whether the connection may be closed so that a new one finds room. */
    boolean yieldsToNew(long nowNanos) {
        boolean isReceiving = mExchange.isEmpty() && !mReader.isAwaitingAdmission();
        boolean isStalled = nowNanos - mLastProgressNanos >= FIRST_REQUEST_TIME.toNanos();
        return isReceiving && isStalled;
    }

    void close() {
        mContext.close();
    }
}
