package org.sesamedeck.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.MessageHandler;
import org.sesamedeck.wire.MessageTransport;
import org.sesamedeck.wire.generated.Envelope;

/**
 * Sends over one connection for each peer, opened when it is first needed. Attempts to reopen it
 * are separated by an exponential backoff with a limit and jitter. Confined to the control thread.
 */
public final class MessagePeerTransport implements PeerTransport, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
    // Short enough to reconnect to a restarted host within the lease and membership timeouts.
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long IDLE_NANOS = Duration.ofMinutes(1).toNanos();

    private final Clock mClock;
    private final Random mRandom;
    private final MessageTransport mTransport;
    private final Executor mControlExecutor;
    private final MessageHandler mHandler;
    private final Map<HostAddress, Peer> mPeers = new HashMap<>();
    private long mNextIdleCheck;

    private static final class Peer {
        private CompletableFuture<MessageConnection> mConnection;
        private long mNextAttemptAt;
        private long mBackoff;
        private long mLastUsed;
    }

    private MessagePeerTransport(
            Clock clock,
            Random random,
            MessageTransport transport,
            Executor controlExecutor,
            MessageHandler handler) {
        mClock = clock;
        mRandom = random;
        mTransport = transport;
        mControlExecutor = controlExecutor;
        mHandler = handler;
        mNextIdleCheck = clock.nanoTime() + IDLE_NANOS;
    }

    /**
     * Returns a transport without connections.
     *
     * @param controlExecutor executor of the control thread, on which futures complete
     * @param handler receives messages that a peer sends over a connection opened here
     */
    public static MessagePeerTransport create(
            Clock clock,
            Random random,
            MessageTransport transport,
            Executor controlExecutor,
            MessageHandler handler) {
        return new MessagePeerTransport(clock, random, transport, controlExecutor, handler);
    }

    @Override
    public void send(HostAddress address, Envelope message) {
        connection(address).thenAccept(connection -> connection.send(message));
    }

    @Override
    public CompletableFuture<Envelope> call(
            HostAddress address, Envelope message, Duration timeout) {
        long startedAt = mClock.nanoTime();
        CompletableFuture<Envelope> result = new CompletableFuture<>();
        connection(address)
                .thenCompose(
                        connection -> {
                            long elapsed = mClock.nanoTime() - startedAt;
                            return connection.call(message, timeout.minusNanos(elapsed));
                        })
                .whenCompleteAsync(
                        (reply, failure) -> {
                            if (failure == null) {
                                result.complete(reply);
                            } else {
                                result.completeExceptionally(SesamedeckException.from(failure));
                            }
                        },
                        mControlExecutor);
        return result;
    }

    private CompletableFuture<MessageConnection> connection(HostAddress address) {
        long now = mClock.nanoTime();
        closeIdle(now);
        Peer peer = mPeers.computeIfAbsent(address, unknown -> new Peer());
        peer.mLastUsed = now;
        boolean isUsable =
                peer.mConnection != null
                        && !peer.mConnection.isCompletedExceptionally()
                        && (!peer.mConnection.isDone() || peer.mConnection.join().isOpen());
        if (isUsable) {
            return peer.mConnection;
        }
        if (now < peer.mNextAttemptAt) {
            return CompletableFuture.failedFuture(
                    SesamedeckException.of(
                            ResultCode.UNAVAILABLE, "no connection to " + address + " yet"));
        }
        // Set before the attempt, so that a connection that breaks at once is not reopened at once.
        long backoff = Math.max(INITIAL_BACKOFF_NANOS, peer.mBackoff);
        peer.mNextAttemptAt = now + backoff / 2 + (long) (mRandom.nextDouble() * backoff / 2);
        peer.mBackoff = Math.min(MAX_BACKOFF_NANOS, backoff * 2);
        CompletableFuture<MessageConnection> attempt =
                mTransport.connect(address, CONNECT_TIMEOUT, mHandler);
        peer.mConnection = attempt;
        attempt.thenAcceptAsync(connection -> peer.mBackoff = 0, mControlExecutor);
        return attempt;
    }

    private void closeIdle(long now) {
        if (now < mNextIdleCheck) {
            return;
        }
        mNextIdleCheck = now + IDLE_NANOS;
        mPeers.values()
                .removeIf(
                        peer -> {
                            boolean isIdle = now - peer.mLastUsed > IDLE_NANOS;
                            if (isIdle && peer.mConnection != null) {
                                peer.mConnection.thenAccept(MessageConnection::close);
                            }
                            return isIdle;
                        });
    }

    @Override
    public void close() {
        mPeers.values().stream()
                .filter(peer -> peer.mConnection != null)
                .forEach(peer -> peer.mConnection.thenAccept(MessageConnection::close));
        mPeers.clear();
    }
}
