package org.sesamedeck.emulator.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.sesamedeck.core.Clock;
import org.sesamedeck.emulator.http.Json;

/** Host list whose changes become visible after a lag. Confined to the event loop. */
final class HostTable {
    private final Clock mClock;
    private final long mLagNanos;
    private final Deque<Change> mPending = new ArrayDeque<>();
    private JsonNode mVisible = Json.array();
    private JsonNode mActual = Json.array();

    private HostTable(Clock clock, long lagNanos) {
        mClock = clock;
        mLagNanos = lagNanos;
    }

    static HostTable of(Clock clock, long lagNanos) {
        return new HostTable(clock, lagNanos);
    }

    void set(JsonNode hosts) {
        if (!hosts.isArray()) {
            throw new IllegalArgumentException("the host list is a JSON array");
        }
        mActual = hosts;
        mPending.add(new Change(mClock.nanoTime() + mLagNanos, hosts));
    }

    JsonNode actual() {
        return mActual;
    }

    JsonNode visible() {
        while (!mPending.isEmpty() && mPending.peek().visibleAtNanos() - mClock.nanoTime() <= 0) {
            mVisible = mPending.poll().hosts();
        }
        return mVisible;
    }

    private record Change(long visibleAtNanos, JsonNode hosts) {}
}
