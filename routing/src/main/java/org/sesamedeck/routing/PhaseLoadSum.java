package org.sesamedeck.routing;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * Sums the load of engines by role.
 *
 * <p>A prompt that is in progress for a process is at the engine for part of that time only, the
 * rest being spent on the way. An engine with prompts in progress therefore counts as busy for the
 * engine time of these prompts as a part of their whole time.
 */
final class PhaseLoadSum {
    /** Time of a call besides the engine time of its prompt. */
    private static final double CALL_OVERHEAD_NANOS = Duration.ofMillis(30).toNanos();

    private final Map<EndpointRole, Sum> mSums = new EnumMap<>(EndpointRole.class);

    /** Load of the engines of one role. */
    private static final class Sum {
        private int mEngines;
        private double mBusy;
        private double mWaitingNanos;
        private double mResponses;
        private double mCapacity;
    }

    /**
     * Returns the load of some engines, summed over all processes; empty while that of the others
     * is unknown.
     *
     * @param processes number of processes that send work, including this one
     * @param capacity returns the number of responses that an engine can generate
     */
    static Optional<PhaseLoadSum> over(
            Candidates engines, int processes, ToDoubleFunction<EndpointState> capacity) {
        PhaseLoadSum sum = new PhaseLoadSum();
        for (EndpointState state : engines.all()) {
            Optional<EndpointLoad> others = state.peerLoad();
            if (processes > 1 && others.isEmpty()) {
                return Optional.empty();
            }
            EndpointLoad own = state.ownLoad();
            EndpointLoad load = others.map(own::plus).orElse(own);
            sum.add(state.description().role(), load, capacity.applyAsDouble(state));
        }
        return Optional.of(sum);
    }

    /** Adds an engine with the number of responses that it can generate. */
    void add(EndpointRole role, EndpointLoad load, double capacity) {
        Sum sum = mSums.computeIfAbsent(role, key -> new Sum());
        sum.mEngines++;
        sum.mWaitingNanos += load.waitingNanos();
        if (role != EndpointRole.DECODE) {
            sum.mBusy += load.waitingNanos() / (load.waitingNanos() + CALL_OVERHEAD_NANOS);
        }
        sum.mResponses += load.running();
        sum.mCapacity += capacity;
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
        double capacity = 0;
        int decoders = 0;
        for (Map.Entry<EndpointRole, Sum> entry : mSums.entrySet()) {
            Sum sum = entry.getValue();
            double factor = Math.max(1, engines.applyAsInt(entry.getKey()) / (double) sum.mEngines);
            busy += sum.mBusy * factor;
            responses += sum.mResponses * factor;
            if (entry.getKey() != EndpointRole.DECODE) {
                waitingNanos += sum.mWaitingNanos;
                processors += sum.mEngines;
            }
            if (entry.getKey() != EndpointRole.PREFILL) {
                capacity += sum.mCapacity;
                decoders += sum.mEngines;
            }
        }
        if (mSums.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new PhaseLoad(
                        busy,
                        waitingNanos / Math.max(1, processors),
                        responses,
                        decoders == 0 ? Double.POSITIVE_INFINITY : capacity / decoders));
    }
}
