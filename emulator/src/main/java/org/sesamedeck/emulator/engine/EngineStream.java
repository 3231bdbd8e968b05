package org.sesamedeck.emulator.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.sesamedeck.emulator.http.Exchange;

/**
 * Response stream of one request and the connections that read it. Events are recomputed from their
 * numbers, so no response text is stored. Confined to the event loop.
 */
final class EngineStream {
    private final Sequence mSequence;
    private final EngineFaults mFaults;
    private final Supplier<String> mLoadHeader;
    private final Runnable mAbandonedTask;
    private final List<Reader> mReaders = new ArrayList<>();
    private long mAbandonments;

    private EngineStream(
            Sequence sequence,
            EngineFaults faults,
            Supplier<String> loadHeader,
            Runnable abandonedTask) {
        mSequence = sequence;
        mFaults = faults;
        mLoadHeader = loadHeader;
        mAbandonedTask = abandonedTask;
    }

    /** Returns a stream that runs the task whenever its last reader leaves. */
    static EngineStream of(
            Sequence sequence,
            EngineFaults faults,
            Supplier<String> loadHeader,
            Runnable abandonedTask) {
        return new EngineStream(sequence, faults, loadHeader, abandonedTask);
    }

    Sequence sequence() {
        return mSequence;
    }

    boolean hasReaders() {
        return !mReaders.isEmpty();
    }

    /** Returns how many times the last reader has left. */
    long abandonments() {
        return mAbandonments;
    }

    /** Adds a reader that receives all past and future events after the given event number. */
    void attach(Exchange exchange, int afterEvent) {
        Reader reader = new Reader(exchange, afterEvent + 1);
        mReaders.add(reader);
        exchange.onClose(() -> leave(reader));
        update(reader);
    }

    /** Sends the new events to all readers; completes or aborts their responses at the end. */
    void update() {
        List.copyOf(mReaders).forEach(this::update);
    }

    private void leave(Reader reader) {
        if (mReaders.remove(reader) && mReaders.isEmpty()) {
            mAbandonments++;
            mAbandonedTask.run();
        }
    }

    private void update(Reader reader) {
        if (mSequence.state() == SequenceState.REFUSED) {
            EngineEmulator.refuseAsNotExecuted(reader.mExchange, "the request was not started");
            leave(reader);
        } else if (mSequence.state() == SequenceState.CANCELLED) {
            reader.mExchange.abort();
            leave(reader);
        } else if (!mSequence.request().isStream()) {
            if (mSequence.state() == SequenceState.DONE) {
                reader.mExchange.respond(200, EventFormat.completion(mSequence, mLoadHeader.get()));
                leave(reader);
            }
        } else {
            sendEvents(reader);
        }
    }

    private void sendEvents(Reader reader) {
        int availableEvents = mSequence.generatedTokens();
        boolean isDone = mSequence.state() == SequenceState.DONE;
        if (reader.mNextEvent > availableEvents && !isDone) {
            return;
        }
        // The response headers are sent with the first token, so that a queued request can still be
        // refused.
        reader.mExchange.startStream(200, "text/event-stream");
        StringBuilder chunk = new StringBuilder();
        for (; reader.mNextEvent <= availableEvents; reader.mNextEvent++) {
            chunk.append(EventFormat.token(mSequence, reader.mNextEvent));
            reader.mSentEvents++;
        }
        boolean isLast = isDone && !mFaults.shouldCutConnection(reader.mSentEvents);
        if (isLast) {
            if (reader.mNextEvent == availableEvents + 1) {
                chunk.append(EventFormat.usage(mSequence, mLoadHeader.get()));
            }
            chunk.append(EventFormat.DONE_EVENT);
        }
        reader.mExchange.write(chunk.toString());
        if (isLast) {
            reader.mExchange.endStream();
            leave(reader);
        } else if (isDone || mFaults.shouldCutConnection(reader.mSentEvents)) {
            reader.mExchange.abort();
            leave(reader);
        }
    }

    private static final class Reader {
        private final Exchange mExchange;
        private int mNextEvent;
        private int mSentEvents;

        private Reader(Exchange exchange, int nextEvent) {
            mExchange = exchange;
            mNextEvent = nextEvent;
        }
    }
}
