package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.routing.FleetProgress;
import org.sesamedeck.routing.LoadMessage;
import org.sesamedeck.routing.LoadScope;
import org.sesamedeck.routing.StoreProgress;

/**
 * A process that was told by others hears from them no more, and the store cuts off its first own
 * call.
 */
class ToldProcessOutageTest implements FeedFollower.Listener<String> {
    private static final Duration BOUND = Duration.ofSeconds(4);

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final SimulatedStore<String> mStore = new SimulatedStore<>(mScheduler);
    private final FleetProgress mProgress = FleetProgress.create(mScheduler.clock());
    private int mOutages;

    @Override
    public void listed(List<Feed.Item<String>> items) {}

    @Override
    public void changed(List<Feed.Item<String>> items) {}

    @Override
    public void storeUnavailable() {
        mOutages++;
    }

    @Override
    public void storeRecovered() {}

    private LoadMessage confirmation() {
        return new LoadMessage(
                "other",
                1,
                1,
                LoadScope.FLEET,
                List.of(),
                List.of(),
                List.of(new StoreProgress(mStore.kind(), 1, 0)),
                Optional.empty(),
                1,
                0);
    }

    @BeforeEach
    void startAndCutOffTheFirstOwnCall() {
        FleetWatchSchedule schedule =
                new FleetWatchSchedule(
                        mStore.kind(),
                        WatchPace.within(BOUND, BOUND),
                        mProgress,
                        () -> false,
                        () -> false);
        schedule.enableSharing(
                new ChangeSharing(
                        "own", sender -> List.of(), new Random(1), (bytes, recipients) -> {}),
                BOUND);
        mStore.put("first", "value");
        mProgress.receive(confirmation());
        FeedFollower.create(
                        mStore,
                        mScheduler.clock(),
                        new ManualTimers(mScheduler),
                        new RecordingLog(),
                        this,
                        schedule,
                        1)
                .start();
        mScheduler.advance(Duration.ofSeconds(1));
        int callsBefore = mStore.calls();
        assertThat(callsBefore, is(1));
        for (int i = 0; i < 300 && mStore.calls() == callsBefore; i++) {
            mScheduler.advance(Duration.ofMillis(10));
        }
        assertThat(mStore.calls(), is(callsBefore + 1));
        mStore.cutOffWatches();
    }

    /** Guards against removed entries that stay in use since a cut off call is an outage. */
    @Test
    void oneCallThatIsCutOffIsNoOutage() {
        mScheduler.advance(Duration.ofSeconds(2));
        assertThat(mOutages, is(0));
    }

    /** Guards against an outage that closes connections and is counted from the first own call. */
    @Test
    void secondCallThatIsCutOffIsAnOutage() {
        assertThat(mOutages, is(0));
        mStore.cutOffNextWatch();
        mScheduler.advance(Duration.ofMillis(150));
        assertThat(mOutages, is(1));
    }
}
