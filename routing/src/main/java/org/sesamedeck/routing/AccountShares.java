package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.sesamedeck.core.Clock;

/**
 * Measures how much work each client account has started lately and decides which accounts use more
 * than their share. Thread-safe.
 *
 * <p>It counts what this process has started itself, and the usage of the other processes where
 * that is known; no request needs a call. An account's share is an equal part among the accounts
 * that have used anything. An account above its share is not limited: its requests only come after
 * the others where requests wait, so that an account that is alone may use everything.
 *
 * <p>Where requests that were set back are not served, one in three is not set back. Otherwise the
 * account would get nothing at all while the others fill the capacity; so it is served at least a
 * third as often as they are.
 */
public final class AccountShares {
    /** Decay time of the usage. */
    private static final double DECAY_SECONDS = 5;

    /** Accounts of usual size differ; only one far above an equal share is set back. */
    private static final double OVER_SHARE_RATIO = 3;

    /** Accounts with less than this part of the mean usage are not active. */
    private static final double ACTIVE_FRACTION = 0.01;

    /** Shares change slowly compared with the decay time. */
    private static final Duration COMPARISON_INTERVAL = Duration.ofMillis(100);

    /** One of three requests keeps its rank while the other two are not served. */
    private static final int UNSERVED_PER_KEPT_RANK = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final Map<String, Double> mOwn = new HashMap<>();
    private final Map<String, Integer> mUnserved = new HashMap<>();
    private UsageSummary mPeers = UsageSummary.empty();
    private Set<String> mOverShare = Set.of();
    private long mSetBack;
    private long mDecayedAtNanos;
    private long mComparedAtNanos;

    private AccountShares(Clock clock) {
        mClock = clock;
        mDecayedAtNanos = clock.nanoTime();
        mComparedAtNanos = mDecayedAtNanos - COMPARISON_INTERVAL.toNanos();
    }

    /** Returns an instance without usage. */
    public static AccountShares create(Clock clock) {
        return new AccountShares(clock);
    }

    /** Records the work of a request that this process starts, in prompt tokens. */
    public synchronized void record(String account, double work) {
        if (!account.isEmpty()) {
            decay();
            mOwn.merge(account, work, Double::sum);
        }
    }

    /** Returns the decayed usage of this process. */
    public synchronized UsageSummary own() {
        decay();
        List<AccountUsage> usages = new ArrayList<>();
        mOwn.forEach((account, work) -> usages.add(new AccountUsage(account, work.longValue())));
        return UsageSummary.of(usages);
    }

    /** Sets the usage summed over all other processes. */
    public synchronized void updatePeers(UsageSummary usage) {
        mPeers = usage;
    }

    /** Returns the usage of all processes as far as it is known, the heaviest accounts first. */
    public synchronized UsageSummary total() {
        return UsageSummary.sum(List.of(own(), mPeers));
    }

    /**
     * Returns whether a request of the account would be set back now, by the latest comparison of
     * the accounts. Changes nothing.
     */
    public synchronized boolean wouldSetBack(String account) {
        return mOverShare.contains(account)
                && mUnserved.getOrDefault(account, 0) < UNSERVED_PER_KEPT_RANK;
    }

    /**
     * Decides whether a new request of the account comes after those of other accounts: the account
     * is over its share, and its requests that came after the others were served.
     */
    public synchronized boolean setsBack(String account) {
        if (!isOverShare(account)) {
            return false;
        }
        int unserved = mUnserved.getOrDefault(account, 0);
        boolean isSetBack = unserved < UNSERVED_PER_KEPT_RANK;
        if (isSetBack) {
            mSetBack++;
        } else {
            mUnserved.put(account, unserved - UNSERVED_PER_KEPT_RANK);
        }
        return isSetBack;
    }

    /** Records that a request of the account, which was set back, has ended without an answer. */
    public synchronized void recordUnserved(String account) {
        if (isOverShare(account)) {
            mUnserved.merge(account, 1, Integer::sum);
        }
    }

    /** Returns the number of requests that have been set back. */
    public synchronized long setBack() {
        return mSetBack;
    }

    /** Returns whether the account has lately used far more than an equal share. */
    public synchronized boolean isOverShare(String account) {
        return overShare().contains(account);
    }

    /** Returns the accounts that have lately used far more than an equal share. */
    public synchronized Set<String> overShare() {
        long now = mClock.nanoTime();
        if (now - mComparedAtNanos >= COMPARISON_INTERVAL.toNanos()) {
            mComparedAtNanos = now;
            mOverShare = accountsOverShare();
            mUnserved.keySet().retainAll(mOverShare);
        }
        return mOverShare;
    }

    private Set<String> accountsOverShare() {
        UsageSummary total = total();
        double used = total.otherWork();
        for (AccountUsage usage : total.heaviest()) {
            used += usage.work();
        }
        double threshold = used / Math.max(1, total.accounts()) * ACTIVE_FRACTION;
        long inactive =
                total.heaviest().stream().filter(usage -> usage.work() <= threshold).count();
        double overShare = used * OVER_SHARE_RATIO / Math.max(1, total.accounts() - inactive);
        return total.heaviest().stream()
                .filter(usage -> usage.work() > overShare)
                .map(AccountUsage::account)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void decay() {
        long now = mClock.nanoTime();
        double factor = Math.exp(-(now - mDecayedAtNanos) / NANOS_PER_SECOND / DECAY_SECONDS);
        mDecayedAtNanos = now;
        mOwn.replaceAll((account, work) -> work * factor);
        mOwn.values().removeIf(work -> work < 1);
    }
}
