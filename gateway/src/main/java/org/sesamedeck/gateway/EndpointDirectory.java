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
 * What this process believes of the endpoints.
 *
 * <p>An endpoint that the store no longer lists is gone at once in quiet times: a leaving endpoint
 * may be sent work for a short time only. Around an outage of the store it may only have failed to
 * renew its entry. Then it stays in use until the store has answered again for long enough that a
 * live endpoint would have returned.
 */
public final class EndpointDirectory implements FeedFollower.Listener<EndpointDescription> {
    /** Live endpoints return to the list within about two seconds of the store's return. */
    private static final Duration RETURN_TIME = Duration.ofMillis(2_000);

    private final Clock mClock;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final Consumer<List<EndpointDescription>> mPublisher;
    private final Map<String, EndpointDescription> mKnown = new HashMap<>();
    private final Set<String> mInDoubt = new HashSet<>();
    private Optional<Long> mRegainedAtNanos = Optional.empty();
    private boolean mIsLost;
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
     * @param publisher receives the usable endpoints after each change
     */
    public static EndpointDirectory create(
            Clock clock,
            Timers timers,
            DecisionLog log,
            Consumer<List<EndpointDescription>> publisher) {
        return new EndpointDirectory(clock, timers, log, publisher);
    }

    /** Returns whether the list has been read at least once. */
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
                disappeared(name);
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
    public void lost() {
        mIsLost = true;
    }

    @Override
    public void regained() {
        mIsLost = false;
        mRegainedAtNanos = Optional.of(mClock.nanoTime());
    }

    private void apply(Feed.Item<EndpointDescription> item) {
        if (item.isGone()) {
            if (mKnown.containsKey(item.name())) {
                disappeared(item.name());
            }
        } else if (item.value().isEmpty()) {
            mLog.record(entry(Decision.ENTRY_UNREADABLE, item.name()));
            mKnown.remove(item.name());
            mInDoubt.remove(item.name());
        } else {
            appeared(item.name(), item.value().get());
        }
    }

    private void appeared(String name, EndpointDescription endpoint) {
        EndpointDescription before = mKnown.put(name, endpoint);
        boolean wasInDoubt = mInDoubt.remove(name);
        if (before == null) {
            mLog.record(described(Decision.ENDPOINT_JOINED, endpoint));
        } else if (endpoint.isLeaving() && !before.isLeaving()) {
            mLog.record(described(Decision.ENDPOINT_LEAVING, endpoint));
        } else if (wasInDoubt || !before.equals(endpoint)) {
            mLog.record(described(Decision.ENDPOINT_CHANGED, endpoint));
        }
    }

    private void disappeared(String name) {
        Optional<Duration> returnTime = remainingReturnTime();
        if (returnTime.isEmpty() || mKnown.get(name).isLeaving()) {
            gone(name);
            return;
        }
        if (mInDoubt.add(name)) {
            mLog.record(
                    entry(Decision.ENDPOINT_IN_DOUBT, name)
                            .with("returnMillis", returnTime.get().toMillis()));
            mTimers.schedule(returnTime.get(), () -> resolve(name));
        }
    }

    /** Returns how much longer a live endpoint may take to return; empty in quiet times. */
    private Optional<Duration> remainingReturnTime() {
        if (mIsLost) {
            return Optional.of(RETURN_TIME);
        }
        return mRegainedAtNanos
                .map(at -> RETURN_TIME.minusNanos(mClock.nanoTime() - at))
                .filter(left -> !left.isNegative() && !left.isZero());
    }

    private void resolve(String name) {
        if (!mInDoubt.contains(name)) {
            return;
        }
        Optional<Duration> returnTime = remainingReturnTime();
        if (returnTime.isPresent()) {
            mTimers.schedule(returnTime.get(), () -> resolve(name));
            return;
        }
        gone(name);
        publish();
    }

    private void gone(String name) {
        mInDoubt.remove(name);
        mKnown.remove(name);
        mLog.record(entry(Decision.ENDPOINT_GONE, name));
    }

    private void publish() {
        mPublisher.accept(List.copyOf(mKnown.values()));
    }

    private LogEntry described(Decision decision, EndpointDescription endpoint) {
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
