package org.sesamedeck.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Index of the endpoints that probably hold a prompt prefix. Entries are hints: engines evict
 * prefixes without notice, and their cache events arrive late and with gaps, so a wrong entry costs
 * only time. Thread-safe and bounded; the least recently used prefixes are evicted.
 */
public final class PrefixIndex {
    /**
     * Maximum number of holders of one prefix; further holders would not improve the choice, since
     * the prefix is then widely cached.
     */
    private static final int MAX_HOLDERS = 4;

    private static final int STRIPES = 16;

    private final Stripe[] mStripes = new Stripe[STRIPES];

    private PrefixIndex(int capacity) {
        for (int i = 0; i < STRIPES; i++) {
            mStripes[i] = new Stripe(Math.max(1, capacity / STRIPES));
        }
    }

    /**
     * Returns an empty index.
     *
     * @param capacity maximum number of prefixes
     */
    public static PrefixIndex create(int capacity) {
        return new PrefixIndex(capacity);
    }

    /** Records that the endpoint holds the prefix. */
    public void add(String endpoint, long hash) {
        Stripe stripe = stripeOf(hash);
        synchronized (stripe) {
            String[] holders = stripe.get(hash);
            if (holders == null) {
                holders = new String[MAX_HOLDERS];
                stripe.put(hash, holders);
            }
            int position = 0;
            while (position < MAX_HOLDERS - 1
                    && holders[position] != null
                    && !holders[position].equals(endpoint)) {
                position++;
            }
            System.arraycopy(holders, 0, holders, 1, position);
            holders[0] = endpoint;
        }
    }

    /** Records that the endpoint no longer holds the prefix. */
    public void remove(String endpoint, long hash) {
        Stripe stripe = stripeOf(hash);
        synchronized (stripe) {
            String[] holders = stripe.get(hash);
            if (holders == null) {
                return;
            }
            for (int i = 0; i < MAX_HOLDERS; i++) {
                if (endpoint.equals(holders[i])) {
                    System.arraycopy(holders, i + 1, holders, i, MAX_HOLDERS - 1 - i);
                    holders[MAX_HOLDERS - 1] = null;
                    return;
                }
            }
        }
    }

    /** Removes an endpoint whose cache was lost, for example by a restart or a role change. */
    public void removeEndpoint(String endpoint) {
        for (Stripe stripe : mStripes) {
            long[] hashes;
            synchronized (stripe) {
                hashes = stripe.keySet().stream().mapToLong(Long::longValue).toArray();
            }
            for (long hash : hashes) {
                remove(endpoint, hash);
            }
        }
    }

    /**
     * Returns a holder of the prefix, or null when there are fewer.
     *
     * @param position 0 for the most recent holder
     */
    String holder(long hash, int position) {
        Stripe stripe = stripeOf(hash);
        synchronized (stripe) {
            String[] holders = stripe.get(hash);
            return holders == null || position >= MAX_HOLDERS ? null : holders[position];
        }
    }

    /** Returns the fraction of the prompt that the endpoint probably holds, 0 to 1. */
    public double cachedFraction(String endpoint, long[] prefixHashes) {
        for (int i = prefixHashes.length - 1; i >= 0; i--) {
            for (int position = 0; position < MAX_HOLDERS; position++) {
                String holder = holder(prefixHashes[i], position);
                if (holder == null) {
                    break;
                }
                if (holder.equals(endpoint)) {
                    return (i + 1.0) / prefixHashes.length;
                }
            }
        }
        return 0;
    }

    private Stripe stripeOf(long hash) {
        return mStripes[(int) (hash ^ hash >>> 32) & (STRIPES - 1)];
    }

    /** One stripe of the index, in order of last access. */
    private static final class Stripe extends LinkedHashMap<Long, String[]> {
        private static final long serialVersionUID = 1L;

        private final int mCapacity;

        Stripe(int capacity) {
            super(16, 0.75f, true);
            mCapacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String[]> eldest) {
            return size() > mCapacity;
        }
    }
}
