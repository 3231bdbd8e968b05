package org.sesamedeck.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Writes each entry as object {@code audit/<day>-<number>}. Entries are written one at a time and
 * retried until the store accepts them; since numbers are unique, an entry that already exists is
 * this entry. An entry that is too large for the store goes to the log only. Confined to the
 * control thread.
 */
public final class StoreAuditTrail implements AuditTrail {
    private static final Logger LOGGER = System.getLogger(StoreAuditTrail.class.getName());
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Bounds memory in a long outage; entries beyond it go to the log only. */
    private static final int MAX_WAITING_ENTRIES = 1000;

    private final ObjectStore mStore;
    private final ControlScheduler mScheduler;
    private final Clock mClock;
    private final Deque<PendingEntry> mWaiting = new ArrayDeque<>();
    private boolean mIsWriting;

    private StoreAuditTrail(ObjectStore store, ControlScheduler scheduler, Clock clock) {
        mStore = store;
        mScheduler = scheduler;
        mClock = clock;
    }

    /** Returns a trail in the given store. */
    public static StoreAuditTrail create(
            ObjectStore store, ControlScheduler scheduler, Clock clock) {
        return new StoreAuditTrail(store, scheduler, clock);
    }

    @Override
    public void record(AuditEntry entry) {
        String time = mClock.now().toString();
        ObjectNode value = MAPPER.valueToTree(entry);
        value.put("time", time);
        LOGGER.log(Level.INFO, "audit {0}", value);
        if (mWaiting.size() >= MAX_WAITING_ENTRIES) {
            LOGGER.log(
                    Level.ERROR,
                    "audit queue is full; audit entry {0} is recorded in this log only",
                    entry.number());
            return;
        }
        String name = time.substring(0, time.indexOf('T')) + "-" + entry.number();
        mWaiting.add(new PendingEntry(ObjectKey.of("audit", name), value.toString()));
        writeNext();
    }

    private void writeNext() {
        if (mIsWriting || mWaiting.isEmpty()) {
            return;
        }
        mIsWriting = true;
        PendingEntry next = mWaiting.peek();
        mStore.create(next.key(), next.value())
                .whenComplete(
                        (version, failure) ->
                                mScheduler.execute(() -> handleResponse(next, failure)));
    }

    private void handleResponse(PendingEntry entry, Throwable failure) {
        SesamedeckException coded = failure == null ? null : SesamedeckException.from(failure);
        if (coded != null && coded.code() != ResultCode.VERSION_CONFLICT) {
            if (coded.code() != ResultCode.VALUE_TOO_LARGE) {
                mScheduler.schedule(
                        coded.retryAfter().orElse(RETRY_DELAY),
                        () -> {
                            mIsWriting = false;
                            writeNext();
                        });
                return;
            }
            LOGGER.log(
                    Level.ERROR,
                    "audit entry {0} is too large for the store and is recorded in this log only",
                    entry.key());
        }
        mIsWriting = false;
        mWaiting.remove();
        writeNext();
    }

    private record PendingEntry(ObjectKey key, String value) {}
}
