package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class DefaultRolePlannerTest {
    private static final int ENGINES = 8;
    private static final Duration CHANGE_DURATION = Duration.ofSeconds(5);
    private static final EngineRates RATES = EngineRates.defaults();

    /** Eight engines that carry out the planner's changes. */
    private static final class Fleet {
        private final ManualClock mClock = ManualClock.create();
        private final DefaultRolePlanner mPlanner;
        private final EndpointRole[] mRoles = new EndpointRole[ENGINES];
        private final long[] mChangingUntil = new long[ENGINES];
        private final long[] mRoleSince = new long[ENGINES];
        private Duration mReportAge = Duration.ofSeconds(1);
        private double mOwed;
        private int mChanges;

        Fleet(double weight) {
            mPlanner = DefaultRolePlanner.create(mClock, RolePlannerSettings.defaults(weight));
            for (int i = 0; i < ENGINES; i++) {
                mRoles[i] = i < 4 ? EndpointRole.PREFILL : EndpointRole.DECODE;
            }
            mClock.advance(Duration.ofMinutes(1));
        }

        int changing() {
            return (int)
                    Arrays.stream(mChangingUntil).filter(time -> time > mClock.nanoTime()).count();
        }

        int count(EndpointRole role) {
            return (int) Arrays.stream(mRoles).filter(each -> each == role).count();
        }

        /** Advances by one second with the given demand, in engines. */
        Optional<RoleChange> advanceOneSecond(double prefill, double decode) {
            mClock.advance(Duration.ofSeconds(1));
            long now = mClock.nanoTime();
            List<EngineSnapshot> engines = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                boolean isChanging = mChangingUntil[i] > now;
                engines.add(
                        new EngineSnapshot(
                                "engine-" + i,
                                mRoles[i],
                                !isChanging,
                                isChanging,
                                true,
                                mRoleSince[i],
                                now - mReportAge.toNanos(),
                                0,
                                0));
            }
            Optional<RoleChange> change =
                    mPlanner.plan(
                            new FleetSnapshot(
                                    "tasting-models",
                                    engines,
                                    prefill * RATES.prefillTokensPerSecond(),
                                    decode * RATES.decodeTokensPerSecond(),
                                    now,
                                    mOwed,
                                    RATES));
            change.ifPresent(
                    accepted -> {
                        int index = Integer.parseInt(accepted.engine().substring(7));
                        assertThat(mRoles[index], is(accepted.from()));
                        assertThat(mChangingUntil[index] <= now, is(true));
                        mRoles[index] = accepted.to();
                        mChangingUntil[index] = now + CHANGE_DURATION.toNanos();
                        mRoleSince[index] = now + CHANGE_DURATION.toNanos();
                        mChanges++;
                    });
            return change;
        }
    }

    /** Guards against roles that do not adapt to a lasting change of the prefill/decode mix. */
    @Test
    void rolesFollowALastingDemandShift() {
        Fleet fleet = new Fleet(0.2);
        for (int i = 0; i < 300; i++) {
            fleet.advanceOneSecond(5, 1.5);
        }
        RoleCounts counts =
                new RoleCounts(
                        fleet.count(EndpointRole.PREFILL),
                        fleet.count(EndpointRole.DECODE),
                        fleet.count(EndpointRole.MIXED));
        assertThat(counts.headroom(5, 1.5, RATES.mixedEfficiency()), is(greaterThan(1.1)));
        assertThat(fleet.mChanges, is(lessThanOrEqualTo(4)));
    }

    /** Guards against role changes for a mix that the current roles already serve. */
    @Test
    void aServedMixCausesNoChange() {
        Fleet fleet = new Fleet(0.2);
        for (int i = 0; i < 300; i++) {
            assertThat(fleet.advanceOneSecond(2.5 + (i % 3) * 0.2, 3).isPresent(), is(false));
        }
    }

    /** Guards against a role change weight that has no effect. */
    @Test
    void aHigherWeightMeansFewerChanges() {
        int[] changes = new int[2];
        for (int variant = 0; variant < 2; variant++) {
            Fleet fleet = new Fleet(variant == 0 ? 0.2 : 1.0);
            for (int i = 0; i < 1_800; i++) {
                double mix = 0.5 + 0.3 * Math.sin(i * 2 * Math.PI / 240);
                fleet.advanceOneSecond(6 * mix, 6 * (1 - mix));
            }
            changes[variant] = fleet.mChanges;
        }
        assertThat(changes[1], is(lessThan(changes[0])));
    }

    /** Guards against role changes based on stale load reports. */
    @Property(seed = "41", tries = 50)
    void staleReportsCauseNoChange(@ForAll @IntRange(min = 5_001, max = 60_000) int ageMillis) {
        Fleet fleet = new Fleet(0.2);
        fleet.mReportAge = Duration.ofMillis(ageMillis);
        for (int i = 0; i < 120; i++) {
            assertThat(fleet.advanceOneSecond(6, 1).isPresent(), is(false));
        }
    }

    /** Guards against two concurrent changes that leave fewer engines than the plans are owed. */
    @Property(seed = "43", tries = 100)
    void concurrentChangesKeepTheCapacityOwedToPlans(
            @ForAll @DoubleRange(min = 0, max = 8) double owed,
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(0.2);
        fleet.mOwed = owed;
        SplittableRandom random = new SplittableRandom(seed);
        double mix = 0.5;
        for (int i = 0; i < 400; i++) {
            if (i % 40 == 0) {
                mix = random.nextDouble();
            }
            fleet.advanceOneSecond(7 * mix, 7 * (1 - mix));
            int changing = fleet.changing();
            if (changing > 1) {
                assertThat((double) ENGINES - changing, is(greaterThanOrEqualTo(owed)));
            }
        }
    }

    /** Guards against model loads that exceed the read rate of the weight store. */
    @Property(seed = "47", tries = 50)
    void modelLoadsStayWithinTheWeightStoreRate(
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        ManualClock clock = ManualClock.create();
        SplittableRandom random = new SplittableRandom(seed);
        ModelLoadPlanner planner = ModelLoadPlanner.create(clock, 1e9);
        long loaded = 0;
        long largest = 20_000_000_000L;
        for (int i = 0; i < 600; i++) {
            clock.advance(Duration.ofSeconds(1));
            long bytes = 1 + random.nextLong(largest);
            Optional<ModelLoad> load =
                    planner.plan(
                            List.of(
                                    new ModelSnapshot("judge", Optional.empty(), bytes, 3),
                                    new ModelSnapshot("lora", Optional.of("judge"), 1, 3)),
                            List.of(
                                    new EngineMemorySnapshot("full", Set.of(), 0, true, 0),
                                    new EngineMemorySnapshot(
                                            "changing", Set.of(), largest, false, 0),
                                    new EngineMemorySnapshot("ready", Set.of(), largest, true, 3)));
            if (load.isPresent()) {
                assertThat(load.get(), is(new ModelLoad("ready", "judge", false)));
                loaded += bytes;
            }
            assertThat(loaded, is(lessThanOrEqualTo((i + 1) * 1_000_000_000L + largest)));
        }
        assertThat(loaded, is(greaterThan(0L)));
    }
}
