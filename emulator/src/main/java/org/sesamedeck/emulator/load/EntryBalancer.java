package org.sesamedeck.emulator.load;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamedeck.core.HostAddress;

/**
 * Emulates the platform's load balancer: round robin over the entries whose admin port reports them
 * ready, checked every 500 ms. An entry that refuses a connection is skipped until its next check.
 * Thread-safe.
 */
public final class EntryBalancer implements AutoCloseable {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int TIMEOUT_MILLIS = 1000;

    private final List<HostAddress> mEntries;
    private final List<HostAddress> mAdmins;
    private final Set<HostAddress> mUnavailable = ConcurrentHashMap.newKeySet();
    private final AtomicLong mNextIndex = new AtomicLong();
    private final ScheduledExecutorService mChecker =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "readiness");
                        thread.setDaemon(true);
                        return thread;
                    });

    private EntryBalancer(List<HostAddress> entries, List<HostAddress> admins) {
        mEntries = List.copyOf(entries);
        mAdmins = List.copyOf(admins);
    }

    /** Returns a balancer; without admin addresses each check marks every entry as available. */
    public static EntryBalancer start(List<HostAddress> entries, List<HostAddress> admins) {
        EntryBalancer balancer = new EntryBalancer(entries, admins);
        balancer.checkReadiness();
        balancer.mChecker.scheduleWithFixedDelay(
                balancer::checkReadiness,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return balancer;
    }

    private void checkReadiness() {
        for (int i = 0; i < mEntries.size(); i++) {
            if (mAdmins.isEmpty() || isReady(mAdmins.get(i))) {
                mUnavailable.remove(mEntries.get(i));
            } else {
                mUnavailable.add(mEntries.get(i));
            }
        }
    }

    /** Returns whether an admin port reports its process ready. */
    public static boolean isReady(HostAddress admin) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create(admin.toHttpBase() + "/ready").toURL().openConnection();
            connection.setConnectTimeout(TIMEOUT_MILLIS);
            connection.setReadTimeout(TIMEOUT_MILLIS);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == 200;
        } catch (IOException unreachable) {
            return false;
        }
    }

    /** Returns the next entry not marked unavailable; any entry if all are marked. */
    public HostAddress next() {
        for (int i = 0; i < mEntries.size(); i++) {
            HostAddress entry =
                    mEntries.get((int) (mNextIndex.getAndIncrement() % mEntries.size()));
            if (!mUnavailable.contains(entry)) {
                return entry;
            }
        }
        return mEntries.get((int) (mNextIndex.getAndIncrement() % mEntries.size()));
    }

    /** Returns the number of entries not marked unavailable. */
    public int readyEntryCount() {
        return mEntries.size() - mUnavailable.size();
    }

    /** Skips an entry until its next check. */
    public void markUnavailable(HostAddress entry) {
        mUnavailable.add(entry);
    }

    @Override
    public void close() {
        mChecker.shutdownNow();
    }
}
