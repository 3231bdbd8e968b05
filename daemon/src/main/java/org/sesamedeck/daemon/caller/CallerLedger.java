package org.sesamedeck.daemon.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.sesamedeck.core.Clock;

/**
 * The one owner of what the callers of a port hold: connections, transfers that may each hold a
 * thread, and memory for bodies. Thread-safe; closing a connection is the only effect.
 *
 * <p>It answers the load of many callers that each stay within the limits on one request and
 * together exceed those of the process, most of which stop short of their end and stay open. What
 * is short is taken from the caller that has kept it longest without progress:
 *
 * <ul>
 *   <li>beyond the limit on connections, from the one that has been longest without a request; if
 *       there is none, from the longest stalled transfer, else from the new connection;
 *   <li>beyond the limit on transfers, from the longest stalled one;
 *   <li>when memory is short, from the body with the largest product of size and time without
 *       progress. If none is stalled, the one that asks waits a short time, so that its caller is
 *       held back, and is refused then.
 * </ul>
 *
 * <p>Large requests that hold part of their memory and wait for the rest can keep each other
 * waiting until they are refused. They leave part of the memory to small ones, which are served
 * meanwhile.
 *
 * <p>Only a transfer that has stalled for {@link #MIN_STALL} is ended, so that a burst of ordinary
 * callers passes. A request whose body is complete is never ended for memory, because it may have
 * been sent to an endpoint, and a request that waits for an endpoint is never ended at all.
 */
public final class CallerLedger {
    /** A transfer without progress for a shorter time is not ended. */
    static final Duration MIN_STALL = Duration.ofSeconds(1);

    private static final Duration MAX_MEMORY_WAIT = Duration.ofSeconds(2);
    private static final long WAIT_MILLIS = 50;

    private final Clock mClock;
    private final CallerLimits mLimits;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private int mTransfers;
    private int mWaitingForMemory;
    private long mUsedBytes;

    /** Part of the memory that large requests hold. */
    private long mLargeBytes;

    /** Memory of ended connections that the threads of their requests still have to release. */
    private long mEndedBytes;

    private long mEnded;

    private CallerLedger(Clock clock, CallerLimits limits) {
        mClock = clock;
        mLimits = limits;
    }

    /** Returns a ledger without connections. */
    public static CallerLedger of(Clock clock, CallerLimits limits) {
        return new CallerLedger(clock, limits);
    }

    /**
     * Adds a new connection and makes room for it.
     *
     * @param close closes the connection without waiting
     */
    CallerConnection open(Runnable close) {
        List<CallerConnection> ended = new ArrayList<>();
        CallerConnection connection;
        synchronized (this) {
            long now = mClock.nanoTime();
            connection = new CallerConnection(this, close, now);
            if (mConnections.size() >= mLimits.maxConnections()) {
                end(longestIdle(now).or(() -> longestStalled(now)).orElse(connection), ended);
            }
            if (connection.state() != CallerState.ENDED) {
                mConnections.add(connection);
            }
        }
        ended.forEach(CallerConnection::close);
        return connection;
    }

    /** Removes a connection that is closed, and its memory. */
    synchronized void remove(CallerConnection connection) {
        mConnections.remove(connection);
        mEndedBytes += connection.state() == CallerState.ENDED ? 0 : connection.heldBytes();
        changeState(connection, CallerState.ENDED);
    }

    /** Records that a request begins. */
    void beginRequest(CallerConnection connection) {
        changeState(connection, CallerState.SERVING);
    }

    /** Records that the response to a request is complete. */
    void endRequest(CallerConnection connection) {
        changeState(connection, CallerState.IDLE);
    }

    /** Records that the request waits for more of its body. */
    void beginReceiving(CallerConnection connection) {
        changeState(connection, CallerState.RECEIVING);
    }

    /** Records that the request waits until its caller reads. */
    void beginSending(CallerConnection connection) {
        changeState(connection, CallerState.SENDING);
    }

    /** Records that the request does not wait for its caller any more. */
    synchronized void endTransfer(CallerConnection connection) {
        if (connection.state().isTransfer()) {
            changeState(connection, CallerState.SERVING);
        }
    }

    /** Records that bytes of a body have been read. */
    synchronized void received(CallerConnection connection, long bytes) {
        connection.received(bytes);
    }

    private synchronized void changeState(CallerConnection connection, CallerState state) {
        if (connection.state() == CallerState.ENDED) {
            return;
        }
        mTransfers += (state.isTransfer() ? 1 : 0) - (connection.state().isTransfer() ? 1 : 0);
        connection.setState(state, mClock.nanoTime());
    }

    /** Ends stalled transfers beyond the limit; to be called several times a second. */
    void check() {
        List<CallerConnection> ended = new ArrayList<>();
        synchronized (this) {
            long now = mClock.nanoTime();
            while (mTransfers > mLimits.maxTransfers() && endOne(longestStalled(now), ended)) {
                continue;
            }
        }
        ended.forEach(CallerConnection::close);
    }

    synchronized void expect(CallerConnection connection, long bytes) {
        if (connection.heldBytes() == 0) {
            connection.setLarge(bytes > mLimits.maxSmallBytes());
        }
    }

    boolean reserve(CallerConnection connection, long bytes) {
        long endNanos = mClock.nanoTime() + MAX_MEMORY_WAIT.toNanos();
        while (!tryReserve(connection, bytes)) {
            if (mClock.nanoTime() - endNanos >= 0 || !awaitMemory()) {
                return false;
            }
        }
        return true;
    }

    /** Reserves memory, if necessary by ending stalled bodies, but without waiting. */
    boolean tryReserve(CallerConnection connection, long bytes) {
        List<CallerConnection> ended = new ArrayList<>();
        boolean isReserved;
        synchronized (this) {
            long now = mClock.nanoTime();
            if (connection.heldBytes() + bytes > mLimits.maxSmallBytes()) {
                becomeLarge(connection);
            }
            while (!hasRoom(connection, bytes - mEndedBytes) && endOne(heaviest(now), ended)) {
                continue;
            }
            isReserved = connection.state() != CallerState.ENDED && hasRoom(connection, bytes);
            if (isReserved) {
                addBytes(connection, bytes);
            }
        }
        ended.forEach(CallerConnection::close);
        return isReserved;
    }

    private void becomeLarge(CallerConnection connection) {
        mLargeBytes += connection.isLarge() ? 0 : connection.heldBytes();
        connection.setLarge(true);
    }

    private void addBytes(CallerConnection connection, long bytes) {
        connection.addHeldBytes(bytes);
        mLargeBytes += connection.isLarge() ? bytes : 0;
        mUsedBytes += bytes;
    }

    /**
     * One request may take all the memory and more, if no other holds any, and also the part for
     * small requests, if no other large one holds any.
     */
    private boolean hasRoom(CallerConnection connection, long bytes) {
        boolean isAlone = mUsedBytes == connection.heldBytes();
        boolean isOnlyLarge = mLargeBytes == connection.heldBytes();
        boolean leavesSmallMemory =
                !connection.isLarge()
                        || isOnlyLarge
                        || mLargeBytes + bytes <= mLimits.largeMemoryBytes();
        return isAlone || leavesSmallMemory && mUsedBytes + bytes <= mLimits.memoryBytes();
    }

    private synchronized boolean awaitMemory() {
        if (mWaitingForMemory >= mLimits.maxTransfers()) {
            return false;
        }
        mWaitingForMemory++;
        try {
            wait(WAIT_MILLIS);
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            mWaitingForMemory--;
        }
    }

    synchronized void release(CallerConnection connection, long bytes) {
        addBytes(connection, -bytes);
        mEndedBytes -= connection.state() == CallerState.ENDED ? bytes : 0;
        notifyAll();
    }

    private boolean endOne(Optional<CallerConnection> connection, List<CallerConnection> ended) {
        connection.ifPresent(found -> end(found, ended));
        return connection.isPresent();
    }

    private void end(CallerConnection connection, List<CallerConnection> ended) {
        remove(connection);
        ended.add(connection);
        mEnded++;
    }

    private Optional<CallerConnection> longestIdle(long now) {
        return largest(
                connection ->
                        connection.state() == CallerState.IDLE
                                ? 1.0 + connection.stateNanos(now)
                                : 0);
    }

    private Optional<CallerConnection> longestStalled(long now) {
        return largest(connection -> isStalled(connection, now) ? connection.stalledNanos(now) : 0);
    }

    private Optional<CallerConnection> heaviest(long now) {
        return largest(connection -> isStalled(connection, now) ? connection.weight(now) : 0);
    }

    private static boolean isStalled(CallerConnection connection, long now) {
        return connection.stalledNanos(now) >= MIN_STALL.toNanos();
    }

    /** Returns the connection with the largest positive value. */
    private Optional<CallerConnection> largest(ToDoubleFunction<CallerConnection> value) {
        CallerConnection largest = null;
        double largestValue = 0;
        for (CallerConnection connection : mConnections) {
            double candidate = value.applyAsDouble(connection);
            if (candidate > largestValue) {
                largest = connection;
                largestValue = candidate;
            }
        }
        return Optional.ofNullable(largest);
    }

    /** Returns the number of open connections. */
    public synchronized int connections() {
        return mConnections.size();
    }

    /** Returns the number of requests that wait for their caller to send or to read. */
    public synchronized int transfers() {
        return mTransfers;
    }

    /** Returns the memory that is reserved for bodies, in bytes. */
    public synchronized long usedBytes() {
        return mUsedBytes;
    }

    /** Returns how many connections were closed because something was short. */
    public synchronized long ended() {
        return mEnded;
    }
}
