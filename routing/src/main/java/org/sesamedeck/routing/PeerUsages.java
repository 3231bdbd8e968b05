package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Latest usage of client accounts that each other process has reported. Not thread-safe.
 *
 * <p>A report replaces the one before, so that a lost or repeated message changes no sum, and what
 * a false one claims is forgotten with the sender's next report.
 */
final class PeerUsages {
    /** Relays of large fleets send usage every two seconds; two of their reports may be lost. */
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(6_500);

    private final Clock mClock;
    private final Map<String, PeerUsage> mReports = new HashMap<>();

    /** Last report of one process. */
    private record PeerUsage(
            long incarnation, long sequence, long receivedNanos, UsageSummary usage) {}

    PeerUsages(Clock clock) {
        mClock = clock;
    }

    /** Records the usage in a message; one that arrives out of order is ignored. */
    void receive(LoadMessage message) {
        PeerUsage known = mReports.get(message.sender());
        boolean isOutOfOrder =
                known != null
                        && known.incarnation == message.incarnation()
                        && known.sequence >= message.sequence();
        if (message.usage().isPresent() && !isOutOfOrder) {
            mReports.put(
                    message.sender(),
                    new PeerUsage(
                            message.incarnation(),
                            message.sequence(),
                            mClock.nanoTime(),
                            message.usage().get()));
        }
    }

    /** Returns the usage in the last report of a process; empty when it has expired. */
    Optional<UsageSummary> of(String node) {
        removeExpired();
        return Optional.ofNullable(mReports.get(node)).map(PeerUsage::usage);
    }

    /** Returns the usages in the last reports of those of the processes that have a recent one. */
    List<UsageSummary> of(Collection<String> nodes) {
        List<UsageSummary> usages = new ArrayList<>();
        nodes.forEach(node -> of(node).ifPresent(usages::add));
        return usages;
    }

    /** Returns the usage that was received last from one of the processes. */
    Optional<UsageSummary> latest(Collection<String> nodes) {
        removeExpired();
        return nodes.stream()
                .map(mReports::get)
                .filter(Objects::nonNull)
                .max(Comparator.comparingLong(PeerUsage::receivedNanos))
                .map(PeerUsage::usage);
    }

    private void removeExpired() {
        long now = mClock.nanoTime();
        mReports.values().removeIf(report -> now - report.receivedNanos > MAX_REPORT_AGE.toNanos());
    }
}
