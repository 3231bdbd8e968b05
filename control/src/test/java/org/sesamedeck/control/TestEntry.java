package org.sesamedeck.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.MessageTransport;
import org.sesamedeck.wire.generated.EntryHello;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StateUpdate;

/** Entry process that is connected to a control process and keeps the pushed state. */
final class TestEntry implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final MessageTransport mTransport = MessageTransport.create(1);
    private final LinkedBlockingQueue<StateUpdate> mUpdates = new LinkedBlockingQueue<>();
    private final MessageConnection mConnection;
    private StateUpdate mState = StateUpdate.getDefaultInstance();

    TestEntry(HostAddress control) {
        mConnection =
                mTransport
                        .connect(
                                control,
                                TIMEOUT,
                                (connection, message) -> {
                                    mUpdates.add(message.getStateUpdate());
                                    return CompletableFuture.completedFuture(Optional.empty());
                                })
                        .join();
        call(
                Envelopes.builder()
                        .setEntryHello(EntryHello.newBuilder().setEntryName("entry"))
                        .build());
    }

    Envelope call(Envelope message) {
        return mConnection.call(message, TIMEOUT).join();
    }

    /** Merges updates until the state satisfies a condition, and returns it. */
    StateUpdate await(String description, Predicate<StateUpdate> condition)
            throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.test(mState)) {
            StateUpdate update = mUpdates.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (update == null) {
                throw new AssertionError("no state with " + description + "; last is " + mState);
            }
            StateUpdate.Builder merged = update.toBuilder();
            if (!update.hasConfiguration()) {
                merged.setConfiguration(mState.getConfiguration());
            }
            if (!update.hasEndpoints()) {
                merged.setEndpoints(mState.getEndpoints());
            }
            if (!update.hasUsageTotals()) {
                merged.setUsageTotals(mState.getUsageTotals());
            }
            mState = merged.build();
        }
        return mState;
    }

    @Override
    public void close() {
        mConnection.close();
        mTransport.close();
    }
}
