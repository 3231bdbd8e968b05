package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;

class EndpointDirectoryTest {
    private final ManualScheduler mTime = ManualScheduler.create();
    private List<String> mPublished = List.of();
    private final EndpointDirectory mDirectory =
            EndpointDirectory.create(
                    mTime.clock(),
                    new ManualTimers(mTime),
                    new RecordingLog(),
                    endpoints ->
                            mPublished =
                                    endpoints.stream().map(EndpointDescription::name).toList());

    private static Feed.Item<EndpointDescription> live(String name) {
        return new Feed.Item<>(name, Optional.of(endpoint(name)), false);
    }

    private static Feed.Item<EndpointDescription> gone(String name) {
        return new Feed.Item<>(name, Optional.empty(), true);
    }

    private static EndpointDescription endpoint(String name) {
        return new EndpointDescription(
                name,
                HostAddress.of("10.0.0.1", 80),
                "books",
                "east-a",
                "east",
                false,
                false,
                false,
                EndpointRole.MIXED,
                Set.of());
    }

    /** Guards against work for an endpoint after the store said that it left. */
    @Test
    void endpointIsGoneAtOnceInQuietTimes() {
        mDirectory.listed(List.of(live("one"), live("two")));
        mDirectory.changed(List.of(gone("one")));
        assertThat(mPublished, contains("two"));
    }

    /** Guards against refusing everything because entries lapsed while the store was away. */
    @Test
    void endpointsThatLapsedInAnOutageStayUntilTheyCouldHaveReturned() {
        mDirectory.listed(List.of(live("one"), live("two")));
        mDirectory.lost();
        mTime.advance(Duration.ofSeconds(5));
        mDirectory.regained();
        mDirectory.listed(List.of());
        assertThat(mPublished, containsInAnyOrder("one", "two"));
        mTime.advance(Duration.ofMillis(1_500));
        mDirectory.changed(List.of(live("two")));
        mTime.advance(Duration.ofMillis(600));
        assertThat(mPublished, contains("two"));
    }

    /** Guards against an endpoint that stays in doubt for ever when outages follow each other. */
    @Test
    void doubtEndsAfterTheLastOutage() {
        mDirectory.listed(List.of(live("one")));
        mDirectory.lost();
        mDirectory.regained();
        mDirectory.listed(List.of());
        mDirectory.lost();
        mTime.advance(Duration.ofSeconds(3));
        mDirectory.regained();
        mTime.advance(Duration.ofSeconds(5));
        assertThat(mPublished, empty());
    }

    /** Guards against one bad entry that hides the others, and against using what it names. */
    @Test
    void unreadableEntryNamesNoEndpoint() {
        mDirectory.listed(List.of(live("one"), live("two")));
        mDirectory.changed(List.of(new Feed.Item<>("one", Optional.empty(), false)));
        assertThat(mPublished, contains("two"));
    }
}
