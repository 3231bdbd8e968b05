package org.sesamedeck.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.core.Clock;

/** The latest work that each other process told. Not thread-safe. */
public final class PeerLoads {
    /** A process that was silent for this long is stopped, cut off or frozen. */
    private static final Duration MAX_AGE = Duration.ofMillis(1_000);

    private final Clock mClock;
    private final Map<String, Share> mShares = new HashMap<>();

    /** What one process told last. */
    private record Share(
            long incarnation, long sequence, long receivedNanos, List<EndpointLoad> loads) {}

    private PeerLoads(Clock clock) {
        mClock = clock;
    }

    /** Returns an object that knows no peers. */
    public static PeerLoads create(Clock clock) {
        return new PeerLoads(clock);
    }

    /**
     * Takes a message; one that was overtaken is ignored.
     *
     * @param incarnation differs for each start of the process
     * @param sequence grows within an incarnation
     */
    public void receive(String node, long incarnation, long sequence, List<EndpointLoad> loads) {
        Share known = mShares.get(node);
        boolean isOvertaken =
                known != null && known.incarnation == incarnation && known.sequence >= sequence;
        if (!isOvertaken) {
            mShares.put(
                    node, new Share(incarnation, sequence, mClock.nanoTime(), List.copyOf(loads)));
        }
    }

    /** Returns the number of processes heard lately. */
    public int peers() {
        forgetSilent();
        return mShares.size();
    }

    /** Returns the work of all processes heard lately, by endpoint. */
    public Map<String, EndpointLoad> totals() {
        forgetSilent();
        Map<String, EndpointLoad> totals = new HashMap<>();
        for (Share share : mShares.values()) {
            for (EndpointLoad load : share.loads) {
                totals.merge(load.endpoint(), load, EndpointLoad::plus);
            }
        }
        return totals;
    }

    private void forgetSilent() {
        long now = mClock.nanoTime();
        mShares.values().removeIf(share -> now - share.receivedNanos > MAX_AGE.toNanos());
    }
}
