package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.sesamedeck.core.Clock;

/**
 * Decides what the load messages of a process say about the usage of client accounts, and sums what
 * the messages of others say. Usage travels and is summed as loads are, but less often, since it
 * changes within seconds. Without client accounts nothing is sent. Not thread-safe.
 */
final class UsageExchange {
    /** Usage decays within five seconds. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(950);

    /** Bounds the bytes a second: a relay of 490 processes has 43 recipients. */
    private static final Duration INTERVAL_PER_RECIPIENT = Duration.ofMillis(50);

    /**
     * Most bytes of named accounts in a message, some seven accounts. Only accounts far above the
     * mean are of interest.
     */
    private static final int MAX_BYTES = 192;

    private final Clock mClock;
    private final PeerUsages mProcesses;
    private final PeerUsages mGroups;
    private final PeerUsages mFleet;
    private UsageSummary mOwn = UsageSummary.empty();
    private long mSentNanos;
    private boolean mIsDue;

    UsageExchange(Clock clock) {
        mClock = clock;
        mProcesses = new PeerUsages(clock);
        mGroups = new PeerUsages(clock);
        mFleet = new PeerUsages(clock);
        mSentNanos = clock.nanoTime();
    }

    /** Updates the usage of this process. */
    void updateOwn(UsageSummary usage) {
        mOwn = usage;
    }

    /** Records the usage in a message of another process. */
    void receive(LoadMessage message) {
        switch (message.scope()) {
            case PROCESS -> mProcesses.receive(message);
            case GROUP -> mGroups.receive(message);
            default -> mFleet.receive(message);
        }
    }

    /**
     * Begins a round of messages; only those of some rounds carry usage.
     *
     * @param recipients number of processes that this one sends to
     */
    void beginRound(int recipients) {
        long now = mClock.nanoTime();
        long interval =
                Math.max(MIN_INTERVAL.toNanos(), INTERVAL_PER_RECIPIENT.toNanos() * recipients);
        mIsDue = now - mSentNanos >= interval;
        if (mIsDue) {
            mSentNanos = now;
        }
    }

    /** Returns the usage of this process for the messages of this round. */
    Optional<UsageSummary> ownToSend() {
        return toSend(List.of(mOwn));
    }

    /** Returns the usage of this process and the members of its group. */
    Optional<UsageSummary> groupToSend(Collection<String> members) {
        return toSend(withOwn(mProcesses.of(members)));
    }

    /**
     * Returns the usage of all processes but the one that it is for.
     *
     * @param members members of this process's group without the one that it is for
     */
    Optional<UsageSummary> fleetToSend(
            Collection<String> members,
            Collection<List<String>> otherGroups,
            Predicate<String> isRelaying) {
        List<UsageSummary> usages = withOwn(mProcesses.of(members));
        usages.addAll(ofGroups(otherGroups, isRelaying));
        return toSend(usages);
    }

    private List<UsageSummary> withOwn(List<UsageSummary> usages) {
        List<UsageSummary> all = new ArrayList<>(usages);
        all.add(mOwn);
        return all;
    }

    private Optional<UsageSummary> toSend(List<UsageSummary> usages) {
        if (!mIsDue) {
            return Optional.empty();
        }
        UsageSummary sum = UsageSummary.sum(usages);
        return sum.isEmpty() ? Optional.empty() : Optional.of(sum.within(MAX_BYTES));
    }

    /** Returns the usage of each of these groups as its best ranked relay reported it. */
    private List<UsageSummary> ofGroups(
            Collection<List<String>> groups, Predicate<String> isRelaying) {
        List<UsageSummary> usages = new ArrayList<>();
        for (List<String> group : groups) {
            List<String> relays = group.stream().filter(isRelaying).toList();
            mGroups.of(relays).stream().findFirst().ifPresent(usages::add);
        }
        return usages;
    }

    /** Returns the usage of the given processes, as they reported it themselves. */
    UsageSummary ofProcesses(Collection<String> processes) {
        return UsageSummary.sum(mProcesses.of(processes));
    }

    /** Returns the usage of the members of this process's group and of the other groups. */
    UsageSummary ofMembersAndGroups(
            Collection<String> members,
            Collection<List<String>> otherGroups,
            Predicate<String> isRelaying) {
        List<UsageSummary> usages = new ArrayList<>(mProcesses.of(members));
        usages.addAll(ofGroups(otherGroups, isRelaying));
        return UsageSummary.sum(usages);
    }

    /** Returns the usage of all other processes as a relay of this process's group reported it. */
    UsageSummary reportedBy(Collection<String> relays) {
        return mFleet.latest(relays).orElse(UsageSummary.empty());
    }
}
