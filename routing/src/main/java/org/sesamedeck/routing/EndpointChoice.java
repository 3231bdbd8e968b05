package org.sesamedeck.routing;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.HashMixer;
import org.sesamedeck.routing.locality.LinkCost;
import org.sesamedeck.routing.locality.LocalitySettings;

/** One routing decision: keeps the best endpoint considered so far. */
final class EndpointChoice {
    private static final int MAX_SAMPLE_SIZE = 8;
    private static final int MAX_PREFIX_HOLDERS = 2;

    /** Of the few endpoints of a domain, a larger sample would always contain the same best one. */
    private static final int SPREAD_SAMPLE_SIZE = 2;

    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_KILOBYTE = 1e3;

    private final RouterSettings mSettings;
    private final PrefixIndex mPrefixes;
    private final EngineMemory mMemory;
    private final int mProcesses;
    private final RequestProfile mProfile;
    private final RequestPhase mPhase;
    private final Set<String> mExcluded;
    private final Optional<LocalitySettings> mLocality;
    private ComparisonListener mListener = ComparisonListener.NONE;
    private Set<String> mDomains = Set.of();
    private Optional<Set<String>> mHomeDomains = Optional.empty();
    private double mSpreadNanos;
    private long mSpreadBits;
    private double mFetchableFraction;
    private EndpointState mBest;
    private double mBestRankingCost = Double.POSITIVE_INFINITY;
    private double mBestCost;
    private double mBestUncachedTokens;
    private EndpointState mRemote;
    private double mRemoteRankingCost = Double.POSITIVE_INFINITY;
    private double mRemoteCost;
    private double mRemoteUncachedTokens;

    EndpointChoice(
            RouterSettings settings,
            PrefixIndex prefixes,
            EngineMemory memory,
            int processes,
            RequestProfile profile,
            RequestPhase phase,
            Set<String> excluded,
            Optional<LocalitySettings> locality) {
        mSettings = settings;
        mPrefixes = prefixes;
        mMemory = memory;
        mProcesses = processes;
        mProfile = profile;
        mPhase = phase;
        mExcluded = excluded;
        mLocality = locality;
    }

    /** Sets the receiver of what is compared from now on. */
    void setListener(ComparisonListener listener) {
        mListener = listener;
    }

    /** Considers only endpoints of these failure domains from now on; empty for all. */
    void restrictTo(Set<String> domains) {
        mDomains = domains;
    }

    /**
     * Compares the endpoints of some failure domains apart from the others from now on, instead of
     * those of the local region.
     */
    void compareApart(Set<String> failureDomains) {
        mHomeDomains = Optional.of(failureDomains);
    }

    /**
     * Samples fewer endpoints, and adds a random part of a time to the cost by which endpoints of
     * one group are ranked. The processes of a domain see the same old loads of a few endpoints;
     * all of them would send to the least loaded one until its queue is seen.
     *
     * @param nanos work that an endpoint gets while a load is on its way, in nanoseconds
     */
    void spread(double nanos, long randomBits) {
        mSpreadNanos = nanos;
        mSpreadBits = randomBits;
    }

    private double spreadNanos() {
        if (mSpreadNanos <= 0) {
            return 0;
        }
        mSpreadBits = HashMixer.mix(mSpreadBits + 1);
        return mSpreadNanos * HashFraction.of(mSpreadBits);
    }

    void considerPrefixHolders(EndpointTable table) {
        long[] hashes = mProfile.prefixHashes();
        for (int i = hashes.length - 1; i >= 0; i--) {
            boolean hasHolder = false;
            for (int position = 0; position < MAX_PREFIX_HOLDERS; position++) {
                String holder = mPrefixes.holder(hashes[i], position);
                EndpointState state = holder == null ? null : table.state(holder);
                if (state != null && isEligible(state) && serves(state)) {
                    consider(state, (i + 1.0) / hashes.length);
                    hasHolder = true;
                }
            }
            if (hasHolder) {
                return;
            }
        }
    }

    /** Accounts for the cached prefix that the chosen engine can fetch from another one. */
    void considerFetching(EndpointTable table) {
        if (mSettings.traits().fetchesCaches() && mPhase != RequestPhase.DECODE) {
            CacheSource source = CacheSource.find(mPrefixes, table, mProfile, Optional.empty());
            mFetchableFraction = source.cachedFraction();
        }
    }

    private boolean serves(EndpointState state) {
        EndpointDescription description = state.description();
        return description.isEngine() && description.models().contains(mProfile.target());
    }

    /** Samples without replacement; an ineligible endpoint is replaced by the next eligible one. */
    void considerRole(Candidates candidates, EndpointRole role, long randomBits) {
        mListener.searched(mDomains, role);
        EndpointState[] endpoints = inDomains(candidates.ofRole(role));
        int size = endpoints.length;
        if (size == 0) {
            return;
        }
        int sampleSize = Math.min(Math.min(candidates(), MAX_SAMPLE_SIZE), size);
        long bits = randomBits;
        int[] sampled = new int[sampleSize];
        int count = 0;
        while (count < sampleSize) {
            // A linear congruential generator with the constants of Knuth's MMIX.
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
                            : mPrefixes.cachedFraction(
                                    state.description().name(), mProfile.prefixHashes()));
        }
    }

    private int candidates() {
        return mSpreadNanos > 0
                ? Math.min(SPREAD_SAMPLE_SIZE, mSettings.candidates())
                : mSettings.candidates();
    }

    /**
     * Returns the endpoints of the failure domains and regions considered. Sampling all endpoints
     * and going on to the next eligible one would prefer those that follow many of other domains.
     */
    private EndpointState[] inDomains(EndpointState[] endpoints) {
        return mLocality.isEmpty()
                ? endpoints
                : Arrays.stream(endpoints)
                        .filter(state -> isInDomain(state.description()))
                        .filter(state -> isInRegion(state.description()))
                        .toArray(EndpointState[]::new);
    }

    private int nextEligible(EndpointState[] endpoints, int start, int[] sampled, int count) {
        for (int step = 0; step < endpoints.length; step++) {
            int index = start + step;
            if (index >= endpoints.length) {
                index -= endpoints.length;
            }
            boolean isSampled = false;
            for (int i = 0; i < count; i++) {
                isSampled |= sampled[i] == index;
            }
            if (!isSampled && isEligible(endpoints[index])) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Considers endpoints of any role; used when none of a suitable role is left, instead of
     * refusing the request.
     */
    void considerAll(Candidates candidates) {
        for (EndpointState state : candidates.all()) {
            if (isEligible(state)) {
                consider(state, 0);
            }
        }
    }

    private boolean isEligible(EndpointState state) {
        return exclusion(state) == null;
    }

    /**
     * Returns why the endpoint cannot take the request, or null when it can. The first reason that
     * applies is returned.
     */
    CandidateExclusion exclusion(EndpointState state) {
        CandidateExclusion exclusion = CandidateExclusion.of(state);
        if (exclusion != null) {
            return exclusion;
        }
        EndpointDescription description = state.description();
        if (!acceptsPhase(description)) {
            return CandidateExclusion.WRONG_ROLE;
        } else if (!hasRoom(state)) {
            return CandidateExclusion.NO_ROOM;
        } else if (!isInDomain(description)) {
            return CandidateExclusion.OUTSIDE_DOMAIN;
        } else if (mExcluded.contains(description.name())) {
            return CandidateExclusion.AVOIDED;
        }
        return isInRegion(description) ? null : CandidateExclusion.OUTSIDE_REGION;
    }

    private boolean isInRegion(EndpointDescription description) {
        return mProfile.allowedRegions().isEmpty()
                || mProfile.allowedRegions().contains(description.region());
    }

    private boolean isInDomain(EndpointDescription description) {
        return mDomains.isEmpty() || mDomains.contains(description.failureDomain());
    }

    private boolean hasRoom(EndpointState state) {
        if (!mProfile.isModelRequest()) {
            return true;
        }
        long held = mPhase == RequestPhase.PREFILL ? 0 : state.heldTokens();
        return mMemory.hasRoom(
                state.description().service(),
                held,
                mProfile.promptTokens() + mProfile.expectedOutputTokens());
    }

    private boolean acceptsPhase(EndpointDescription description) {
        return acceptsPhase(mSettings, description, mPhase);
    }

    /** Returns whether the role of an endpoint lets it serve a phase. */
    static boolean acceptsPhase(
            RouterSettings settings, EndpointDescription description, RequestPhase phase) {
        return !settings.traits().rolesAreStrict()
                || description.role() == EndpointRole.MIXED
                || (phase == RequestPhase.PREFILL) == (description.role() == EndpointRole.PREFILL);
    }

    /**
     * Compares an endpoint with the best one so far, separately for the local region or domain and
     * the other ones. The ranking cost is the cost plus the recent prompts of this router and the
     * work that the other processes are assumed to have sent; see {@link DefaultRouter}.
     */
    private void consider(EndpointState state, double cachedFraction) {
        double availableFraction = Math.max(cachedFraction, mFetchableFraction);
        double uncachedTokens =
                mPhase == RequestPhase.DECODE
                        ? 0
                        : mProfile.promptTokens() * (1 - availableFraction);
        double cost = cost(state, uncachedTokens);
        double rankingCost =
                cost
                        + spreadNanos()
                        + state.recentPromptNanos()
                        + state.expectedWaitNanos(mProcesses)
                        - state.expectedWaitNanos(1)
                        + (mPhase == RequestPhase.PREFILL
                                ? 0
                                : mProfile.expectedOutputTokens()
                                        * state.peerDecodeNanosPerToken(mProcesses));
        mListener.compared(state, cost, rankingCost);
        if (!isHome(state.description())) {
            if (rankingCost < mRemoteRankingCost) {
                mRemote = state;
                mRemoteRankingCost = rankingCost;
                mRemoteCost = cost;
                mRemoteUncachedTokens = uncachedTokens;
            }
        } else if (rankingCost < mBestRankingCost) {
            mBest = state;
            mBestRankingCost = rankingCost;
            mBestCost = cost;
            mBestUncachedTokens = uncachedTokens;
        }
    }

    private boolean isHome(EndpointDescription description) {
        return mHomeDomains.isPresent()
                ? mHomeDomains.get().contains(description.failureDomain())
                : description.region().equals(mSettings.region());
    }

    /** Returns null when nothing was eligible. */
    EndpointState best() {
        return mBest;
    }

    double bestUncachedTokens() {
        return mBestUncachedTokens;
    }

    boolean isEmpty() {
        return mBest == null && mRemote == null;
    }

    /**
     * Chooses between the best endpoints of the local region and of the other ones. Recent prompts
     * spread the work within a region; between regions only the cost counts.
     */
    void compareRegions() {
        if (mRemote != null && (mBest == null || mRemoteCost < mBestCost)) {
            mBest = mRemote;
            mBestUncachedTokens = mRemoteUncachedTokens;
        }
    }

    private double cost(EndpointState state, double uncachedTokens) {
        EndpointDescription description = state.description();
        double cost = state.expectedWaitNanos(1);
        if (!mProfile.isModelRequest()) {
            return cost + state.plainServiceNanos() + distanceNanos(description, 1);
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
                + distanceNanos(
                        description, tokens * mSettings.bytesPerToken() / BYTES_PER_KILOBYTE);
    }

    private double distanceNanos(EndpointDescription description, double kilobytes) {
        return mLocality.isEmpty()
                ? regionNanos(description, kilobytes)
                : mLocality.get().costTo(description.location()).requestNanos(kilobytes)
                        + transferNanos(mLocality.get(), description);
    }

    /** Returns the additional time to fetch the KV cache of the processed prompt. */
    private double transferNanos(LocalitySettings locality, EndpointDescription description) {
        return mProfile.cacheLocation()
                        .map(cache -> locality.cost(cache.distanceTo(description.location())))
                        .orElse(LinkCost.NONE)
                        .transferNanosPerToken()
                * mProfile.promptTokens();
    }

    private double regionNanos(EndpointDescription description, double kilobytes) {
        return description.region().equals(mSettings.region())
                ? 0
                : kilobytes * mSettings.regionMicrosPerKilobyte() * NANOS_PER_MICRO;
    }
}
