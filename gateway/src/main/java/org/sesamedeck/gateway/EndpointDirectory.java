package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.Timers;
import org.sesamedeck.routing.EndpointDescription;

/**
 * This process's local view of the endpoints.
 *
 * <p>While the store is available, an endpoint that it no longer lists is removed at once, since
 * work may be sent to a leaving endpoint only for a short time. During and shortly after an outage
 * of the store, a live endpoint may merely have failed to renew its entry. It then stays in use as
 * unconfirmed until the store has been available for long enough for a live endpoint to register
 * again.
 */
public final class EndpointDirectory implements FeedFollower.Listener<EndpointDescription> {
    /** Live endpoints register again within about two seconds after the store recovers. */
    static final Duration REREGISTRATION_TIME = Duration.ofMillis(2_000);

    private final Clock mClock;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final Consumer<List<EndpointDescription>> mPublisher;
    private final Map<String, EndpointDescription> mKnown = new HashMap<>();
    private final Set<String> mUnconfirmed = new HashSet<>();
    private Optional<Long> mStoreRecoveredAtNanos = Optional.empty();
    private boolean mIsStoreUnavailable;
    private boolean mIsListed;

    private EndpointDirectory(
            Clock clock,
            Timers timers,
            DecisionLog log,
            Consumer<List<EndpointDescription>> publisher) {
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mPublisher = publisher;
    }

    /**
     * Returns an empty directory.
     *
     * @param publisher receives the known endpoints after each change
     */
    public static EndpointDirectory create(
            Clock clock,
            Timers timers,
            DecisionLog log,
            Consumer<List<EndpointDescription>> publisher) {
        return new EndpointDirectory(clock, timers, log, publisher);
    }

    /** Returns whether the list of endpoints has been read at least once. */
    public boolean isListed() {
        return mIsListed;
    }

    @Override
    public void listed(List<Feed.Item<EndpointDescription>> items) {
        Set<String> listed = new HashSet<>();
        for (Feed.Item<EndpointDescription> item : items) {
            listed.add(item.name());
            apply(item);
        }
        for (String name : Set.copyOf(mKnown.keySet())) {
            if (!listed.contains(name)) {
                removeOrKeepUnconfirmed(name);
            }
        }
        mIsListed = true;
        publish();
    }

    @Override
    public void changed(List<Feed.Item<EndpointDescription>> items) {
        items.forEach(this::apply);
        publish();
    }

    @Override
    public void storeUnavailable() {
        mIsStoreUnavailable = true;
    }

    @Override
    public void storeRecovered() {
        mIsStoreUnavailable = false;
        mStoreRecoveredAtNanos = Optional.of(mClock.nanoTime());
    }

    private void apply(Feed.Item<EndpointDescription> item) {
        if (item.isDeleted()) {
            if (mKnown.containsKey(item.name())) {
                removeOrKeepUnconfirmed(item.name());
            }
        } else if (item.value().isEmpty()) {
            mLog.record(entry(Decision.ENTRY_UNREADABLE, item.name()));
            mKnown.remove(item.name());
            mUnconfirmed.remove(item.name());
        } else {
            addOrUpdate(item.name(), item.value().get());
        }
    }

    private void addOrUpdate(String name, EndpointDescription endpoint) {
        EndpointDescription previous = mKnown.put(name, endpoint);
        boolean wasUnconfirmed = mUnconfirmed.remove(name);
        if (previous == null) {
            mLog.record(endpointEntry(Decision.ENDPOINT_JOINED, endpoint));
        } else if (endpoint.isLeaving() && !previous.isLeaving()) {
            LogEntry entry = endpointEntry(Decision.ENDPOINT_LEAVING, endpoint);
            mLog.record(
                    endpoint.leavesWithin()
                            .map(time -> entry.with("leavesWithinMillis", time.toMillis()))
                            .orElse(entry));
        } else if (wasUnconfirmed || !previous.equals(endpoint)) {
            mLog.record(endpointEntry(Decision.ENDPOINT_CHANGED, endpoint));
        }
    }

    private void removeOrKeepUnconfirmed(String name) {
        Optional<Duration> remaining = remainingReregistrationTime();
        if (remaining.isEmpty() || mKnown.get(name).isLeaving()) {
            remove(name);
            return;
        }
        if (mUnconfirmed.add(name)) {
            mLog.record(
                    entry(Decision.ENDPOINT_IN_DOUBT, name)
                            .with("returnMillis", remaining.get().toMillis()));
            mTimers.schedule(remaining.get(), () -> removeIfUnconfirmed(name));
        }
    }

    /**
     * Returns how much longer a live endpoint may take to register again; empty if there was no
     * recent outage.
     */
    private Optional<Duration> remainingReregistrationTime() {
        if (mIsStoreUnavailable) {
            return Optional.of(REREGISTRATION_TIME);
        }
        return mStoreRecoveredAtNanos
                .map(at -> REREGISTRATION_TIME.minusNanos(mClock.nanoTime() - at))
                .filter(remaining -> !remaining.isNegative() && !remaining.isZero());
    }

    private void removeIfUnconfirmed(String name) {
        if (!mUnconfirmed.contains(name)) {
            return;
        }
        Optional<Duration> remaining = remainingReregistrationTime();
        if (remaining.isPresent()) {
            mTimers.schedule(remaining.get(), () -> removeIfUnconfirmed(name));
            return;
        }
        remove(name);
        publish();
    }

    private void remove(String name) {
        mUnconfirmed.remove(name);
        mKnown.remove(name);
        mLog.record(entry(Decision.ENDPOINT_GONE, name));
    }

    private void publish() {
        mPublisher.accept(List.copyOf(mKnown.values()));
    }

    private LogEntry endpointEntry(Decision decision, EndpointDescription endpoint) {
        return entry(decision, endpoint.name())
                .with("service", endpoint.service())
                .with("address", endpoint.address().toString())
                .with("region", endpoint.region())
                .with("role", endpoint.role());
    }

    private LogEntry entry(Decision decision, String name) {
        return LogEntry.of(decision, mClock.nanoTime()).with("endpoint", name);
    }
}
