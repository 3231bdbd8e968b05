package org.sesamedeck.emulator.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sesamedeck.emulator.http.Exchange;

/** Long-poll watches that wait for a newer version. Confined to the event loop. */
final class WatchTable {
    private static final long MAX_WAIT_SECONDS = 60;

    private final LongSupplier mStaleMillis;
    private final Map<String, List<PendingWatch>> mPendingWatches = new HashMap<>();
    private int mCount;

    private WatchTable(LongSupplier staleMillis) {
        mStaleMillis = staleMillis;
    }

    static WatchTable of(LongSupplier staleMillis) {
        return new WatchTable(staleMillis);
    }

    int count() {
        return mCount;
    }

    /**
     * Responds immediately if the current version is greater than {@code after}, otherwise on the
     * next newer write or without content after {@code waitSeconds}, at most 60 seconds.
     */
    void watch(
            Exchange exchange,
            String key,
            Optional<VersionedValue> current,
            long after,
            long waitSeconds) {
        if (current.isPresent() && current.get().version() > after) {
            respond(exchange, key, current.get());
            return;
        }
        PendingWatch watch = new PendingWatch(exchange, after);
        mPendingWatches.computeIfAbsent(key, absent -> new ArrayList<>()).add(watch);
        mCount++;
        watch.mTimeout =
                exchange.eventLoop()
                        .schedule(
                                () -> {
                                    if (remove(key, watch)) {
                                        exchange.respondEmpty(204);
                                    }
                                },
                                Math.min(waitSeconds, MAX_WAIT_SECONDS),
                                TimeUnit.SECONDS);
        exchange.onClose(() -> remove(key, watch));
    }

    /** Responds to the watches of a key after a write. */
    void onChange(String key, VersionedValue value) {
        for (PendingWatch watch : List.copyOf(mPendingWatches.getOrDefault(key, List.of()))) {
            if (value.version() > watch.mAfter && remove(key, watch)) {
                respond(watch.mExchange, key, value);
            }
        }
    }

    private boolean remove(String key, PendingWatch watch) {
        List<PendingWatch> watches = mPendingWatches.get(key);
        if (watches == null || !watches.remove(watch)) {
            return false;
        }
        if (watches.isEmpty()) {
            mPendingWatches.remove(key);
        }
        mCount--;
        watch.mTimeout.cancel(false);
        return true;
    }

    private void respond(Exchange exchange, String key, VersionedValue value) {
        Runnable response = () -> exchange.respond(200, PlatformEmulator.objectJson(key, value));
        long delayMillis = mStaleMillis.getAsLong();
        if (delayMillis > 0) {
            exchange.eventLoop().schedule(response, delayMillis, TimeUnit.MILLISECONDS);
        } else {
            response.run();
        }
    }

    private static final class PendingWatch {
        private final Exchange mExchange;
        private final long mAfter;
        private ScheduledFuture<?> mTimeout;

        private PendingWatch(Exchange exchange, long after) {
            mExchange = exchange;
            mAfter = after;
        }
    }
}
