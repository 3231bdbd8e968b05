package org.sesamedeck.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Decides where models and adapters are loaded. Every load reads from the weight store, whose read
 * rate is limited: loads are spaced so that the bytes read in any interval stay within the rate
 * plus one load. Not thread-safe.
 */
public final class ModelLoadPlanner {
    private final Clock mClock;
    private final double mBytesPerSecond;
    private long mNextLoadAtNanos;
    private boolean mHasLoaded;

    private ModelLoadPlanner(Clock clock, double bytesPerSecond) {
        mClock = clock;
        mBytesPerSecond = bytesPerSecond;
    }

    /**
     * Returns a planner.
     *
     * @param bytesPerSecond rate limit of the weight store for this planner
     * @throws IllegalArgumentException if the rate is not positive
     */
    public static ModelLoadPlanner create(Clock clock, double bytesPerSecond) {
        if (!(bytesPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "weight store rate must be positive, but is " + bytesPerSecond);
        }
        return new ModelLoadPlanner(clock, bytesPerSecond);
    }

    /**
     * Returns at most one load to begin now: the model that lacks the most engines, into the engine
     * with the fewest running requests among those with enough free memory.
     */
    public Optional<ModelLoad> plan(
            List<ModelSnapshot> models, List<EngineMemorySnapshot> engines) {
        long now = mClock.nanoTime();
        if (mHasLoaded && now - mNextLoadAtNanos < 0) {
            return Optional.empty();
        }
        List<ModelSnapshot> underprovisioned =
                models.stream()
                        .filter(model -> missingEngines(model, engines) > 0)
                        .sorted(
                                Comparator.comparingDouble(
                                                (ModelSnapshot model) ->
                                                        missingEngines(model, engines))
                                        .reversed()
                                        .thenComparing(ModelSnapshot::name))
                        .toList();
        for (ModelSnapshot model : underprovisioned) {
            Optional<EngineMemorySnapshot> engine =
                    engines.stream()
                            .filter(EngineMemorySnapshot::isReady)
                            .filter(candidate -> !candidate.models().contains(model.name()))
                            .filter(
                                    candidate ->
                                            model.baseModel()
                                                    .map(candidate.models()::contains)
                                                    .orElse(true))
                            .filter(candidate -> candidate.freeBytes() >= model.bytes())
                            .min(
                                    Comparator.comparingInt(EngineMemorySnapshot::runningRequests)
                                            .thenComparing(EngineMemorySnapshot::name));
            if (engine.isPresent()) {
                mHasLoaded = true;
                mNextLoadAtNanos = now + (long) (model.bytes() / mBytesPerSecond * 1e9);
                return Optional.of(
                        new ModelLoad(
                                engine.get().name(), model.name(), model.baseModel().isPresent()));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns how many more engines the model needs: its demand, rounded up, less the engines that
     * hold it.
     */
    private static double missingEngines(ModelSnapshot model, List<EngineMemorySnapshot> engines) {
        if (model.demandEngines() <= 0) {
            return 0;
        }
        long holders =
                engines.stream().filter(engine -> engine.models().contains(model.name())).count();
        return Math.ceil(model.demandEngines()) - holders;
    }
}
