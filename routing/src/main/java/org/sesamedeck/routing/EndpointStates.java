package org.sesamedeck.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.sesamedeck.core.Clock;

/**
 * Creates the states of endpoints that are new in the table, and updates those of known ones. Not
 * thread-safe.
 */
final class EndpointStates {
    private final Clock mClock;
    private final RouterSettings mSettings;
    private final SpeedEstimate.Factory mSpeeds;
    private final PrefixIndex mPrefixes;
    private final EndpointExclusions mExclusions;
    private final SplittableRandom mSpreads;
    private final Map<String, ServiceTimeModel> mServiceTimes = new HashMap<>();

    /**
     * Creates an instance that knows no endpoints.
     *
     * @param prefixes index of prompt prefixes, which forgets those of processes that are replaced
     * @param seed determines the random part of suspicions
     */
    EndpointStates(
            Clock clock,
            RouterSettings settings,
            SpeedEstimate.Factory speeds,
            PrefixIndex prefixes,
            EndpointExclusions exclusions,
            long seed) {
        mClock = clock;
        mSettings = settings;
        mSpeeds = speeds;
        mPrefixes = prefixes;
        mExclusions = exclusions;
        mSpreads = new SplittableRandom(seed);
    }

    /**
     * Returns the state of an endpoint, which is a new one when another process has its name.
     *
     * @param known state of the endpoint of that name in the table before, or null
     */
    EndpointState of(EndpointDescription endpoint, EndpointState known) {
        boolean hasStatedLeaving = mExclusions.hasStatedLeaving(endpoint);
        if (known == null || !known.description().isSameProcess(endpoint)) {
            if (known != null) {
                mPrefixes.removeEndpoint(endpoint.name());
            }
            EndpointState state = create(endpoint);
            if (hasStatedLeaving) {
                state.statedLeaving();
            }
            return state;
        }
        if (known.description().role() != endpoint.role()) {
            mPrefixes.removeEndpoint(endpoint.name());
        }
        known.update(endpoint);
        return known;
    }

    private EndpointState create(EndpointDescription endpoint) {
        return new EndpointState(
                mClock,
                mSettings,
                endpoint,
                mServiceTimes.computeIfAbsent(endpoint.service(), name -> new ServiceTimeModel()),
                mSpeeds.create(),
                new EndpointSuspicion(mClock, mSpreads.nextDouble(), endpoint.isEngine()));
    }
}
