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

    private final LongSupplier mResponseDelayMillis;
    private final Map<String, List<WaitingWatch>> mWaitingWatches = new HashMap<>();
    private int mCount;

    private WatchTable(LongSupplier responseDelayMillis) {
        mResponseDelayMillis = responseDelayMillis;
    }

    static WatchTable of(LongSupplier responseDelayMillis) {
        return new WatchTable(responseDelayMillis);
    }

    int count() {
        return mCount;
    }

    /**
     * Responds immediately if the current version is greater than {@code afterVersion}, otherwise
     * on the next newer write or without content after {@code waitSeconds}, at most 60 seconds.
     */
    void watch(
            Exchange exchange,
            String key,
            Optional<VersionedValue> current,
            long afterVersion,
            long waitSeconds) {
        if (current.isPresent() && current.get().version() > afterVersion) {
            respond(exchange, key, current.get());
            return;
        }
        WaitingWatch watch = new WaitingWatch(exchange, afterVersion);
        mWaitingWatches.computeIfAbsent(key, absent -> new ArrayList<>()).add(watch);
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
        for (WaitingWatch watch : List.copyOf(mWaitingWatches.getOrDefault(key, List.of()))) {
            if (value.version() > watch.mAfterVersion && remove(key, watch)) {
                respond(watch.mExchange, key, value);
            }
        }
    }

    private boolean remove(String key, WaitingWatch watch) {
        List<WaitingWatch> watches = mWaitingWatches.get(key);
        if (watches == null || !watches.remove(watch)) {
            return false;
        }
        if (watches.isEmpty()) {
            mWaitingWatches.remove(key);
        }
        mCount--;
        watch.mTimeout.cancel(false);
        return true;
    }

    private void respond(Exchange exchange, String key, VersionedValue value) {
        Runnable response = () -> exchange.respond(200, PlatformEmulator.objectJson(key, value));
        long delayMillis = mResponseDelayMillis.getAsLong();
        if (delayMillis > 0) {
            exchange.eventLoop().schedule(response, delayMillis, TimeUnit.MILLISECONDS);
        } else {
            response.run();
        }
    }

    private static final class WaitingWatch {
        private final Exchange mExchange;
        private final long mAfterVersion;
        private ScheduledFuture<?> mTimeout;

        private WaitingWatch(Exchange exchange, long afterVersion) {
            mExchange = exchange;
            mAfterVersion = afterVersion;
        }
    }
}
