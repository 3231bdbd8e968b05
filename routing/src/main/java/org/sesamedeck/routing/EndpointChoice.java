package org.sesamedeck.routing;

import java.util.Optional;
import java.util.Set;

/** One decision: the best endpoint considered so far. */
final class EndpointChoice {
    private static final int MAX_SAMPLE = 8;
    private static final int MAX_PREFIX_HOLDERS = 2;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_KILOBYTE = 1e3;

    private final RouterSettings mSettings;
    private final PrefixIndex mPrefixes;
    private final int mProcesses;
    private final RequestProfile mProfile;
    private final RequestPhase mPhase;
    private final Set<String> mExcluded;
    private double mFetchablePart;
    private EndpointState mBest;
    private double mBestSpaced = Double.POSITIVE_INFINITY;
    private double mBestCost;
    private double mBestUncachedTokens;
    private EndpointState mOther;
    private double mOtherSpaced = Double.POSITIVE_INFINITY;
    private double mOtherCost;
    private double mOtherUncachedTokens;

    EndpointChoice(
            RouterSettings settings,
            PrefixIndex prefixes,
            int processes,
            RequestProfile profile,
            RequestPhase phase,
            Set<String> excluded) {
        mSettings = settings;
        mPrefixes = prefixes;
        mProcesses = processes;
        mProfile = profile;
        mPhase = phase;
        mExcluded = excluded;
    }

    void considerPrefixHolders(EndpointTable table) {
        long[] hashes = mProfile.prefixHashes();
        for (int i = hashes.length - 1; i >= 0; i--) {
            boolean isKnown = false;
            for (int position = 0; position < MAX_PREFIX_HOLDERS; position++) {
                String holder = mPrefixes.holder(hashes[i], position);
                EndpointState state = holder == null ? null : table.state(holder);
                if (state != null && isEligible(state) && serves(state)) {
                    consider(state, (i + 1.0) / hashes.length);
                    isKnown = true;
                }
            }
            if (isKnown) {
                return;
            }
        }
    }

    /** Whoever holds a part of the prompt can give it to the chosen engine. */
    void considerFetching(EndpointTable table) {
        if (mSettings.traits().fetchesCaches() && mPhase != RequestPhase.DECODE) {
            CacheSource source = CacheSource.find(mPrefixes, table, mProfile, Optional.empty());
            mFetchablePart = source.cachedPart();
        }
    }

    private boolean serves(EndpointState state) {
        EndpointDescription description = state.description();
        return description.isEngine() && description.models().contains(mProfile.target());
    }

    /** Samples without replacement; ineligible endpoints are passed over to the next one. */
    void considerRole(Candidates candidates, EndpointRole role, long randomBits) {
        EndpointState[] endpoints = candidates.ofRole(role);
        int size = endpoints.length;
        if (size == 0) {
            return;
        }
        int wanted = Math.min(Math.min(mSettings.candidates(), MAX_SAMPLE), size);
        long bits = randomBits;
        int[] sampled = new int[wanted];
        int count = 0;
        while (count < wanted) {
            bits = bits * 0x5851f42d4c957f2dL + 0x14057b7ef767814fL;
            int start = (int) ((bits >>> 33) % size);
            int found = nextEligible(endpoints, start, sampled, count);
            if (found < 0) {
                return;
            }
            sampled[count++] = found;
            EndpointState state = endpoints[found];
            consider(
                    state,
                    mPhase == RequestPhase.DECODE || mProfile.prefixHashes().length == 0
                            ? 0
                            : mPrefixes.cachedPart(
                                    state.description().name(), mProfile.prefixHashes()));
        }
    }

    private int nextEligible(EndpointState[] endpoints, int start, int[] sampled, int count) {
        for (int step = 0; step < endpoints.length; step++) {
            int index = start + step;
            if (index >= endpoints.length) {
                index -= endpoints.length;
            }
            boolean isTaken = false;
            for (int i = 0; i < count; i++) {
                isTaken |= sampled[i] == index;
            }
            if (!isTaken && isEligible(endpoints[index])) {
                return index;
            }
        }
        return -1;
    }

    /** When no endpoint of a suitable role is left, any role is better than a refusal. */
    void considerAll(Candidates candidates) {
        for (EndpointState state : candidates.all()) {
            if (isEligible(state)) {
                consider(state, 0);
            }
        }
    }

    private boolean isEligible(EndpointState state) {
        return state.isUsable()
                && acceptsPhase(state.description())
                && !mExcluded.contains(state.description().name())
                && (mProfile.allowedRegions().isEmpty()
                        || mProfile.allowedRegions().contains(state.description().region()));
    }

    private boolean acceptsPhase(EndpointDescription description) {
        return !mSettings.traits().rolesAreStrict()
                || description.role() == EndpointRole.MIXED
                || (mPhase == RequestPhase.PREFILL) == (description.role() == EndpointRole.PREFILL);
    }

    private void consider(EndpointState state, double cachedPart) {
        double available = Math.max(cachedPart, mFetchablePart);
        double uncached =
                mPhase == RequestPhase.DECODE ? 0 : mProfile.promptTokens() * (1 - available);
        double cost = cost(state, uncached);
        double spaced =
                cost
                        + state.recentPromptNanos()
                        + state.expectedWaitNanos(mProcesses)
                        - state.expectedWaitNanos(1)
                        + (mPhase == RequestPhase.PREFILL
                                ? 0
                                : mProfile.expectedOutputTokens()
                                        * state.othersDecodeNanosPerToken(mProcesses));
        if (!state.description().region().equals(mSettings.region())) {
            if (spaced < mOtherSpaced) {
                mOther = state;
                mOtherSpaced = spaced;
                mOtherCost = cost;
                mOtherUncachedTokens = uncached;
            }
        } else if (spaced < mBestSpaced) {
            mBest = state;
            mBestSpaced = spaced;
            mBestCost = cost;
            mBestUncachedTokens = uncached;
        }
    }

    /** Returns null when nothing was eligible. */
    EndpointState best() {
        return mBest;
    }

    double bestUncachedTokens() {
        return mBestUncachedTokens;
    }

    boolean isEmpty() {
        return mBest == null && mOther == null;
    }

    /** Recent prompts space the work within a region; between regions only the cost counts. */
    void compareRegions() {
        if (mOther != null && (mBest == null || mOtherCost < mBestCost)) {
            mBest = mOther;
            mBestUncachedTokens = mOtherUncachedTokens;
        }
    }

    private double cost(EndpointState state, double uncachedTokens) {
        EndpointDescription description = state.description();
        double cost = state.expectedWaitNanos(1);
        if (!mProfile.isModelRequest()) {
            return cost + state.plainNanos() + regionNanos(description, 1);
        }
        double prompt = uncachedTokens * state.prefillNanosPerToken();
        double output =
                mPhase == RequestPhase.PREFILL
                        ? 0
                        : mProfile.expectedOutputTokens() * state.decodeNanosPerToken();
        cost += prompt + output;
        if (description.role() == EndpointRole.PREFILL) {
            cost += output * mSettings.mismatchFactor();
        } else if (description.role() == EndpointRole.DECODE) {
            cost += prompt * mSettings.mismatchFactor();
        }
        double tokens = mProfile.promptTokens() + (double) mProfile.expectedOutputTokens();
        return cost
                + regionNanos(description, tokens * mSettings.bytesPerToken() / BYTES_PER_KILOBYTE);
    }

    private double regionNanos(EndpointDescription description, double kilobytes) {
        return description.region().equals(mSettings.region())
                ? 0
                : kilobytes * mSettings.regionMicrosPerKilobyte() * NANOS_PER_MICRO;
    }
}
