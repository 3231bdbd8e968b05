package org.sesamedeck.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/** Sums the load of engines by role. */
final class PhaseLoadSum {
    private final Map<EndpointRole, Sum> mSums = new EnumMap<>(EndpointRole.class);

    /** Load of the engines of one role. */
    private static final class Sum {
        private int mEngines;
        private double mBusy;
        private double mWaitingNanos;
        private double mResponses;
    }

    void add(EndpointRole role, EndpointLoad load) {
        Sum sum = mSums.computeIfAbsent(role, key -> new Sum());
        sum.mEngines++;
        sum.mWaitingNanos += load.waitingNanos();
        // A prefill engine processes one prompt after the other, so it is busy or idle.
        if (role == EndpointRole.PREFILL) {
            sum.mBusy += Math.min(1, load.running());
        } else {
            sum.mBusy += role == EndpointRole.MIXED && load.waitingNanos() > 0 ? 1 : 0;
            sum.mResponses += load.running();
        }
    }

    /**
     * Returns the load of all engines, if the others are loaded as those that were added; empty if
     * none were added.
     *
     * @param engines number of engines by role
     */
    Optional<PhaseLoad> extendedTo(ToIntFunction<EndpointRole> engines) {
        double busy = 0;
        double responses = 0;
        double waitingNanos = 0;
        int processors = 0;
        for (Map.Entry<EndpointRole, Sum> entry : mSums.entrySet()) {
            Sum sum = entry.getValue();
            double factor = Math.max(1, engines.applyAsInt(entry.getKey()) / (double) sum.mEngines);
            busy += sum.mBusy * factor;
            responses += sum.mResponses * factor;
            if (entry.getKey() != EndpointRole.DECODE) {
                waitingNanos += sum.mWaitingNanos;
                processors += sum.mEngines;
            }
        }
        return mSums.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new PhaseLoad(busy, waitingNanos / Math.max(1, processors), responses));
    }
}
