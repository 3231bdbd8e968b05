package org.sesamedeck.gateway;

import ch.qos.logback.core.AsyncAppenderBase;
import ch.qos.logback.core.ContextBase;
import ch.qos.logback.core.OutputStreamAppender;
import java.io.OutputStream;
import java.time.Instant;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.RequestOutcome;
import org.sesamedeck.request.RequestTrace;

/**
 * Writes decisions as JSON lines without blocking: a bounded queue feeds a writer thread, and lines
 * that find the queue full are dropped, counted and reported later. Requests are sampled by
 * identifier, so that a request is logged with all its lines or not at all and all processes select
 * the same requests. Requests that were not served on time are also logged outside the sample, up
 * to a limit per second.
 */
public final class JsonDecisionLog implements DecisionLog, AutoCloseable {
    private static final int QUEUE_LINES = 4_096;

    /** One of this many requests is in the sample. */
    private static final int SAMPLE_INTERVAL = 16;

    /**
     * Maximum number of requests per second that are logged outside the sample because they were
     * not served on time, so that an overload does not flood the log.
     */
    private static final int MAX_OUTSIDE_SAMPLE_PER_SECOND = 25;

    /** Callers choose the identifiers of their requests. */
    private static final int MAX_IDENTIFIER_LENGTH = 128;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Clock mClock;
    private final ContextBase mContext = new ContextBase();
    private final AsyncAppenderBase<LogLine> mQueue = new AsyncAppenderBase<>();
    private long mDroppedLines;
    private long mSampledOut;
    private long mSecondStartNanos;
    private int mOutsideSampleThisSecond;

    private JsonDecisionLog(Clock clock, String node, OutputStream output) {
        mClock = clock;
        LogLineEncoder encoder = new LogLineEncoder(node);
        encoder.setContext(mContext);
        encoder.start();
        OutputStreamAppender<LogLine> writer = new OutputStreamAppender<>();
        writer.setContext(mContext);
        writer.setName("output");
        writer.setEncoder(encoder);
        writer.setOutputStream(output);
        writer.start();
        mQueue.setContext(mContext);
        mQueue.setName("queue");
        mQueue.setNeverBlock(true);
        mQueue.setQueueSize(QUEUE_LINES);
        mQueue.setDiscardingThreshold(0);
        mQueue.addAppender(writer);
        mQueue.start();
    }

    /** Returns a log that writes to the given stream. */
    public static JsonDecisionLog create(Clock clock, String node, OutputStream output) {
        return new JsonDecisionLog(clock, node, output);
    }

    @Override
    public synchronized void record(LogEntry entry) {
        append(Optional.empty(), entry);
    }

    @Override
    public synchronized void requestEnded(RequestTrace trace) {
        if (!isKept(trace)) {
            mSampledOut++;
            return;
        }
        Optional<String> request =
                Optional.of(LogEntry.shorten(trace.identifier(), MAX_IDENTIFIER_LENGTH));
        trace.entries().forEach(entry -> append(request, entry));
    }

    private boolean isKept(RequestTrace trace) {
        if (Math.floorMod(trace.identifier().hashCode(), SAMPLE_INTERVAL) == 0) {
            return true;
        }
        if (trace.outcome() == RequestOutcome.SERVED) {
            return false;
        }
        long now = mClock.nanoTime();
        if (now - mSecondStartNanos > SECOND_NANOS) {
            mSecondStartNanos = now;
            mOutsideSampleThisSecond = 0;
        }
        return ++mOutsideSampleThisSecond <= MAX_OUTSIDE_SAMPLE_PER_SECOND;
    }

    private void append(Optional<String> request, LogEntry entry) {
        if (!hasCapacity()) {
            mDroppedLines++;
            return;
        }
        if (mDroppedLines > 0) {
            LogEntry report = LogEntry.of(Decision.LINES_DROPPED, mClock.nanoTime());
            mQueue.doAppend(line(Optional.empty(), report.with("lines", mDroppedLines)));
            mDroppedLines = 0;
        }
        mQueue.doAppend(line(request, entry));
    }

    private LogLine line(Optional<String> request, LogEntry entry) {
        Instant time = mClock.now().minusNanos(mClock.nanoTime() - entry.atNanos());
        return new LogLine(time, request, entry);
    }

    /** Returns whether the queue has room for a line and for the report of dropped lines. */
    boolean hasCapacity() {
        return mQueue.getRemainingCapacity() > 1;
    }

    /** Returns the number of requests left out by the sampling and the limit per second. */
    public synchronized long sampledOut() {
        return mSampledOut;
    }

    /** Writes the queued lines, for at most one second. */
    @Override
    public void close() {
        mQueue.stop();
    }
}
