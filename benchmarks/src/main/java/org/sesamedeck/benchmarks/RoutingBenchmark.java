package org.sesamedeck.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.LoadReport;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.RouterSettings;

/** Measures the time from choosing an endpoint to closing its assignment. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RoutingBenchmark {
    private static final String MODEL = "house-judge";
    private static final int PROFILES = 1024;
    private static final int PREFIX_BLOCKS = 16;

    /** Number of known endpoints; above 200 the router uses a subset of 200. */
    @Param({"8", "5600"})
    private int mEndpoints;

    private DefaultRouter mRouter;
    private RequestProfile[] mProfiles;
    private int mNextProfile;

    /** Creates the endpoint table, load reports and request profiles. */
    @Setup
    public void prepare() {
        Clock clock = SystemClock.create();
        mRouter = DefaultRouter.create(clock, RouterSettings.defaults("r0"), "entry-1", 7);
        SplittableRandom random = new SplittableRandom(11);
        List<EndpointDescription> endpoints = new ArrayList<>();
        for (int i = 0; i < mEndpoints; i++) {
            endpoints.add(
                    new EndpointDescription(
                            "engine-" + i,
                            HostAddress.of("127.0.0.1", 1_000 + i),
                            "models",
                            "d" + i % 9,
                            "r" + i % 3,
                            true,
                            false,
                            false,
                            i % 2 == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE,
                            Set.of(MODEL)));
        }
        mRouter.updateEndpoints(endpoints);
        for (EndpointDescription endpoint : mRouter.subset()) {
            mRouter.reportLoad(
                    endpoint.name(),
                    new LoadReport(
                            random.nextInt(4),
                            random.nextInt(100),
                            random.nextInt(8_000),
                            0.5,
                            clock.nanoTime()));
        }
        mProfiles = new RequestProfile[PROFILES];
        for (int i = 0; i < PROFILES; i++) {
            long[] prefixHashes = new long[PREFIX_BLOCKS];
            long promptId = random.nextInt(64);
            for (int block = 0; block < PREFIX_BLOCKS; block++) {
                prefixHashes[block] = new SplittableRandom(promptId * 31 + block).nextLong();
            }
            mProfiles[i] =
                    new RequestProfile(
                            "gold",
                            "customer-" + i % 210,
                            MODEL,
                            true,
                            5,
                            2_000,
                            100,
                            prefixHashes,
                            Set.of(),
                            Long.MAX_VALUE);
        }
    }

    /** Chooses an endpoint for a whole request and closes the assignment immediately. */
    @Benchmark
    public Optional<Assignment> chooseForWholeRequest() {
        Optional<Assignment> assignment =
                mRouter.choose(mProfiles[mNextProfile++ & (PROFILES - 1)], Set.of());
        assignment.ifPresent(Assignment::close);
        return assignment;
    }

    /**
     * Chooses an endpoint for the prefill phase, records the prompt prefix and closes the
     * assignment immediately.
     */
    @Benchmark
    public Optional<Assignment> chooseForPrefill() {
        Optional<Assignment> assignment =
                mRouter.choosePhase(
                        mProfiles[mNextProfile++ & (PROFILES - 1)], RequestPhase.PREFILL, Set.of());
        assignment.ifPresent(Assignment::firstToken);
        assignment.ifPresent(Assignment::close);
        return assignment;
    }
}
