package org.sesamedeck.routing;

import java.util.Set;
import java.util.function.LongSupplier;

/** Compares the endpoints that may take a request. Acquires none and draws no numbers itself. */
final class EndpointComparison {
    private final RouterSettings mSettings;
    private final PrefixIndex mPrefixes;
    private final EngineMemory mMemory;
    private final LocalityRule mLocality;

    EndpointComparison(
            RouterSettings settings,
            PrefixIndex prefixes,
            EngineMemory memory,
            LocalityRule locality) {
        mSettings = settings;
        mPrefixes = prefixes;
        mMemory = memory;
        mLocality = locality;
    }

    /**
     * Returns the completed choice for one phase of a request.
     *
     * @param processes number of processes that send work to the same endpoints
     * @param excluded names of endpoints that must not be chosen
     * @param isRepeated whether an endpoint has failed the request before
     * @param randomBits determines the samples
     */
    EndpointChoice compare(
            EndpointTable table,
            int processes,
            RequestProfile profile,
            RequestPhase phase,
            Set<String> excluded,
            boolean isRepeated,
            LongSupplier randomBits,
            ComparisonListener listener) {
        Candidates candidates = table.candidates(profile.target());
        EndpointChoice choice =
                new EndpointChoice(
                        mSettings,
                        mPrefixes,
                        mMemory,
                        processes,
                        profile,
                        phase,
                        excluded,
                        mLocality.settings(table));
        choice.setListener(listener);
        if (phase != RequestPhase.DECODE) {
            choice.considerFetching(table);
        }
        mLocality.consider(
                choice,
                table,
                profile,
                phase,
                isRepeated,
                () -> considerRoles(choice, table, candidates, phase, randomBits));
        if (choice.isEmpty()) {
            choice.considerAll(candidates);
        }
        choice.compareRegions();
        return choice;
    }

    private static void considerRoles(
            EndpointChoice choice,
            EndpointTable table,
            Candidates candidates,
            RequestPhase phase,
            LongSupplier randomBits) {
        if (phase != RequestPhase.DECODE) {
            choice.considerPrefixHolders(table);
        }
        choice.considerRole(candidates, EndpointRole.MIXED, randomBits.getAsLong());
        if (phase != RequestPhase.DECODE) {
            choice.considerRole(candidates, EndpointRole.PREFILL, randomBits.getAsLong());
        }
        if (phase != RequestPhase.PREFILL) {
            choice.considerRole(candidates, EndpointRole.DECODE, randomBits.getAsLong());
        }
    }
}
