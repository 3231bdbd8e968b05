package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.sesamedeck.core.Clock;
import org.sesamedeck.emulator.http.Json;

/**
 * Log of prefix cache changes that the engine publishes. An event becomes visible after a lag. A
 * random fraction of the events is never published, which leaves gaps in the event numbers.
 * Confined to the event loop.
 */
final class CacheEventLog {
    private static final int MAX_RETAINED_EVENTS = 10_000;
    private static final int MAX_RETURNED_EVENTS = 1_000;

    private final Clock mClock;
    private final long mLagNanos;
    private final double mLostFraction;
    private final Random mRandom;
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mLastNumber;

    private CacheEventLog(Clock clock, EngineSettings settings) {
        mClock = clock;
        mLagNanos = settings.cacheEventLag().toNanos();
        mLostFraction = settings.cacheEventGaps();
        mRandom = new Random(settings.name().hashCode());
    }

    static CacheEventLog of(Clock clock, EngineSettings settings) {
        return new CacheEventLog(clock, settings);
    }

    void add(String type, String blockHash) {
        long number = ++mLastNumber;
        if (mRandom.nextDouble() < mLostFraction) {
            return;
        }
        mEvents.add(new Event(number, mClock.nanoTime(), type, blockHash));
        if (mEvents.size() > MAX_RETAINED_EVENTS) {
            mEvents.poll();
        }
    }

    /**
     * Returns up to 1,000 published events that follow the given event number, oldest first, and as
     * {@code next} the number to pass in the next call.
     */
    ObjectNode eventsAfter(long number) {
        ObjectNode json = Json.object();
        ArrayNode events = json.putArray("events");
        long next = number;
        for (Event event : mEvents) {
            boolean isPublished = mClock.nanoTime() - event.createdNanos() >= mLagNanos;
            if (!isPublished || events.size() >= MAX_RETURNED_EVENTS) {
                break;
            }
            if (event.number() > number) {
                next = event.number();
                events.addObject()
                        .put("n", event.number())
                        .put("type", event.type())
                        .put("block", event.blockHash());
            }
        }
        return json.put("next", next);
    }

    private record Event(long number, long createdNanos, String type, String blockHash) {}
}
