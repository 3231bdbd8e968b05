package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sesamedeck.core.Clock;

/**
 * Measures how much work each client account has started lately and decides which accounts use more
 * than their share. Not thread-safe.
 *
 * <p>It counts what this process has started itself, and the usage of the other processes where
 * that is known; no request needs a call. An account's share is an equal part among the accounts
 * that have used anything. An account above its share is not limited: it only comes after the
 * others where requests wait, so that an account that is alone may use everything.
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

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final Map<String, Double> mOwn = new HashMap<>();
    private Map<String, Double> mPeers = Map.of();
    private Set<String> mOverShare = Set.of();
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
    public void record(String account, double work) {
        if (!account.isEmpty()) {
            decay();
            mOwn.merge(account, work, Double::sum);
        }
    }

    /** Returns the decayed usage of this process, the accounts with most usage first. */
    public List<AccountUsage> own(int limit) {
        decay();
        List<AccountUsage> usages = new ArrayList<>();
        mOwn.forEach((account, work) -> usages.add(new AccountUsage(account, work.longValue())));
        usages.sort(Comparator.comparingLong(AccountUsage::work).reversed());
        return List.copyOf(usages.subList(0, Math.min(limit, usages.size())));
    }

    /** Sets the usage summed over all other processes. */
    public void updatePeers(List<AccountUsage> usages) {
        Map<String, Double> peers = new HashMap<>();
        usages.forEach(usage -> peers.merge(usage.account(), (double) usage.work(), Double::sum));
        mPeers = peers;
    }

    /** Returns whether the account has lately used far more than an equal share. */
    public boolean isOverShare(String account) {
        long now = mClock.nanoTime();
        if (now - mComparedAtNanos >= COMPARISON_INTERVAL.toNanos()) {
            mComparedAtNanos = now;
            mOverShare = accountsOverShare();
        }
        return mOverShare.contains(account);
    }

    private Set<String> accountsOverShare() {
        decay();
        Map<String, Double> totals = new HashMap<>(mPeers);
        mOwn.forEach((name, work) -> totals.merge(name, work, Double::sum));
        double used = totals.values().stream().mapToDouble(Double::doubleValue).sum();
        double threshold = used / Math.max(1, totals.size()) * ACTIVE_FRACTION;
        long active = totals.values().stream().filter(work -> work > threshold).count();
        Set<String> overShare = new HashSet<>();
        totals.forEach(
                (account, work) -> {
                    if (work * active > used * OVER_SHARE_RATIO) {
                        overShare.add(account);
                    }
                });
        return overShare;
    }

    private void decay() {
        long now = mClock.nanoTime();
        double factor = Math.exp(-(now - mDecayedAtNanos) / NANOS_PER_SECOND / DECAY_SECONDS);
        mDecayedAtNanos = now;
        mOwn.replaceAll((account, work) -> work * factor);
        mOwn.values().removeIf(work -> work < 1);
    }
}
