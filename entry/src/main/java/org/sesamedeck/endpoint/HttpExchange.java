package org.sesamedeck.endpoint;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.client5.http.async.HttpAsyncClient;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.support.classic.SharedOutputBuffer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.net.URIAuthority;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Exchange whose data passes between the HTTP client's I/O threads and the thread that uses it. The
 * endpoint may send only as many bytes as that thread has consumed plus one window, so a slow
 * caller applies backpressure to its own stream only.
 */
final class HttpExchange implements EndpointExchange {
    private static final String CONTEXT_ATTRIBUTE = "org.sesamedeck.exchange";
    private static final int OUTPUT_BUFFER_BYTES = 16 * 1024;

    private final EndpointRequest mRequest;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mStateChanged = mLock.newCondition();
    private final ArrayDeque<byte[]> mChunks = new ArrayDeque<>();
    private final SharedOutputBuffer mStreamedBody;
    private final ByteBuffer mBufferedBody;
    private Optional<EndpointResponse> mResponse = Optional.empty();
    private Optional<Exception> mFailure = Optional.empty();
    private CapacityChannel mCapacity;
    private int mConsumedBytes;
    private boolean mSent;
    private boolean mEnded;
    private boolean mDiscardBody;
    private volatile Future<Void> mFuture;

    private HttpExchange(EndpointRequest request) {
        mRequest = request;
        mBufferedBody = request.body().map(ByteBuffer::wrap).orElse(null);
        mStreamedBody =
                request.streamedLength().isPresent()
                        ? new SharedOutputBuffer(OUTPUT_BUFFER_BYTES)
                        : null;
    }

    static HttpExchange of(EndpointRequest request) {
        return new HttpExchange(request);
    }

    void start(HttpAsyncClient client, RequestConfig config) {
        HttpClientContext context = HttpClientContext.create();
        context.setAttribute(CONTEXT_ATTRIBUTE, this);
        if (config != null) {
            context.setRequestConfig(config);
        }
        mFuture =
                client.execute(
                        new Producer(), new Consumer(), null, context, new CompletionCallback());
    }

    /**
     * Marks the exchange of a context as sent; called when a connection is open. The client calls
     * the producer before it has a connection, so that call does not show whether the endpoint has
     * received anything.
     */
    static void markSent(HttpClientContext context) {
        if (context.getAttribute(CONTEXT_ATTRIBUTE) instanceof HttpExchange exchange) {
            exchange.markSent();
        }
    }

    private void markSent() {
        mLock.lock();
        try {
            mSent = true;
            mStateChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Discards the response body as it arrives. */
    void discardBody() {
        mDiscardBody = true;
    }

    @Override
    public OutputStream requestBody() {
        if (mStreamedBody == null) {
            throw new IllegalStateException("the request has no streamed body");
        }
        return new BodyStream();
    }

    @Override
    public boolean awaitSent(Duration timeout) {
        mLock.lock();
        try {
            long remainingNanos = timeout.toNanos();
            while (!mSent && mFailure.isEmpty() && remainingNanos > 0) {
                remainingNanos = mStateChanged.awaitNanos(remainingNanos);
            }
            if (!mSent && mFailure.isPresent()) {
                throw toSesamedeckException(mFailure.get());
            }
            return mSent;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw toSesamedeckException(interrupted);
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public Optional<EndpointResponse> awaitResponse(Duration timeout) {
        mLock.lock();
        try {
            long remainingNanos = timeout.toNanos();
            while (mResponse.isEmpty() && mFailure.isEmpty() && remainingNanos > 0) {
                remainingNanos = mStateChanged.awaitNanos(remainingNanos);
            }
            if (mResponse.isEmpty() && mFailure.isPresent()) {
                throw toSesamedeckException(mFailure.get());
            }
            return mResponse;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw toSesamedeckException(interrupted);
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public Optional<byte[]> read(Duration timeout) {
        mLock.lock();
        try {
            long remainingNanos = timeout.toNanos();
            while (mChunks.isEmpty() && !mEnded && mFailure.isEmpty() && remainingNanos > 0) {
                remainingNanos = mStateChanged.awaitNanos(remainingNanos);
            }
            if (!mChunks.isEmpty()) {
                byte[] chunk = mChunks.poll();
                mConsumedBytes += chunk.length;
                grantCapacity();
                return Optional.of(chunk);
            }
            if (mEnded) {
                return Optional.of(new byte[0]);
            }
            if (mFailure.isPresent()) {
                throw toSesamedeckException(mFailure.get());
            }
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw toSesamedeckException(interrupted);
        } finally {
            mLock.unlock();
        }
    }

    private void grantCapacity() {
        if (mCapacity != null && mConsumedBytes > 0 && !mEnded) {
            try {
                mCapacity.update(mConsumedBytes);
                mConsumedBytes = 0;
            } catch (IOException failure) {
                mFailure = Optional.of(failure);
            }
        }
    }

    private SesamedeckException toSesamedeckException(Exception cause) {
        // These messages are sent to callers, so they must not contain addresses.
        return mSent
                ? SesamedeckException.of(
                        ResultCode.OUTCOME_UNKNOWN,
                        "the connection to the endpoint broke after the request was sent",
                        cause)
                : SesamedeckException.of(
                        ResultCode.UNAVAILABLE, "the endpoint could not be reached", cause);
    }

    @Override
    public void close() {
        boolean isComplete;
        mLock.lock();
        try {
            isComplete = mEnded;
            mChunks.clear();
        } finally {
            mLock.unlock();
        }
        if (mStreamedBody != null) {
            mStreamedBody.abort();
        }
        Future<Void> future = mFuture;
        if (!isComplete && future != null) {
            future.cancel(true);
        }
    }

    private void fail(Exception cause) {
        mLock.lock();
        try {
            if (mFailure.isEmpty() && !mEnded) {
                mFailure = Optional.of(cause);
            }
            mStateChanged.signalAll();
        } finally {
            mLock.unlock();
        }
        if (mStreamedBody != null) {
            mStreamedBody.abort();
        }
    }

    private final class Producer implements AsyncRequestProducer {
        @Override
        public void sendRequest(RequestChannel channel, HttpContext context)
                throws HttpException, IOException {
            BasicHttpRequest request = new BasicHttpRequest(mRequest.method(), mRequest.path());
            request.setScheme("http");
            String address = mRequest.address().address();
            request.setAuthority(
                    new URIAuthority(
                            address.startsWith("[")
                                    ? address.substring(1, address.length() - 1)
                                    : address,
                            mRequest.address().port()));
            mRequest.headers()
                    .forEach(
                            (name, values) ->
                                    values.forEach(value -> request.addHeader(name, value)));
            EntityDetails details = null;
            if (mBufferedBody != null) {
                details = new BasicEntityDetails(mBufferedBody.remaining(), null);
            } else if (mStreamedBody != null) {
                details = new BasicEntityDetails(mRequest.streamedLength().get(), null);
            }
            channel.sendRequest(request, details, context);
        }

        @Override
        public boolean isRepeatable() {
            return false;
        }

        @Override
        public void failed(Exception cause) {
            fail(cause);
        }

        @Override
        public int available() {
            return mStreamedBody != null
                    ? mStreamedBody.length()
                    : mBufferedBody == null ? 0 : mBufferedBody.remaining();
        }

        @Override
        public void produce(DataStreamChannel channel) throws IOException {
            if (mStreamedBody != null) {
                mStreamedBody.flush(channel);
                return;
            }
            if (mBufferedBody != null) {
                channel.write(mBufferedBody);
            }
            if (mBufferedBody == null || !mBufferedBody.hasRemaining()) {
                channel.endStream();
            }
        }

        @Override
        public void releaseResources() {
            if (mStreamedBody != null) {
                mStreamedBody.abort();
            }
        }
    }

    private final class Consumer implements AsyncResponseConsumer<Void> {
        private FutureCallback<Void> mResult;

        @Override
        public void consumeResponse(
                HttpResponse response,
                EntityDetails details,
                HttpContext context,
                FutureCallback<Void> result) {
            Map<String, List<String>> headers = new HashMap<>();
            for (Header header : response.getHeaders()) {
                EndpointResponse.addHeader(headers, header.getName(), header.getValue());
            }
            mResult = result;
            mLock.lock();
            try {
                mResponse = Optional.of(new EndpointResponse(response.getCode(), headers));
                mEnded = details == null;
                mStateChanged.signalAll();
            } finally {
                mLock.unlock();
            }
            if (details == null && result != null) {
                result.completed(null);
            }
        }

        @Override
        public void informationResponse(HttpResponse response, HttpContext context) {
            // Interim (1xx) responses are ignored.
        }

        @Override
        public void failed(Exception cause) {
            fail(cause);
        }

        @Override
        public void updateCapacity(CapacityChannel channel) {
            mLock.lock();
            try {
                mCapacity = channel;
                grantCapacity();
            } finally {
                mLock.unlock();
            }
        }

        @Override
        public void consume(ByteBuffer source) {
            byte[] chunk = new byte[source.remaining()];
            source.get(chunk);
            mLock.lock();
            try {
                if (mDiscardBody) {
                    mConsumedBytes += chunk.length;
                    grantCapacity();
                } else if (chunk.length > 0) {
                    mChunks.add(chunk);
                }
                mStateChanged.signalAll();
            } finally {
                mLock.unlock();
            }
        }

        @Override
        public void streamEnd(List<? extends Header> trailers) {
            mLock.lock();
            try {
                mEnded = true;
                mStateChanged.signalAll();
            } finally {
                mLock.unlock();
            }
            mResult.completed(null);
        }

        @Override
        public void releaseResources() {
            // The chunks are released when the exchange is closed.
        }
    }

    private final class CompletionCallback implements FutureCallback<Void> {
        @Override
        public void completed(Void result) {
            // The consumer has already recorded the end of the body.
        }

        @Override
        public void failed(Exception cause) {
            fail(cause);
        }

        @Override
        public void cancelled() {
            fail(new IOException("the exchange was cancelled"));
        }
    }

    private final class BodyStream extends OutputStream {
        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            mStreamedBody.write(bytes, offset, length);
        }

        @Override
        public void close() throws IOException {
            mStreamedBody.writeCompleted();
        }
    }
}
