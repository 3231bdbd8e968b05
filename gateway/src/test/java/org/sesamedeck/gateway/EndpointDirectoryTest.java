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
    private final ManualScheduler mScheduler = ManualScheduler.create();
    private List<String> mPublished = List.of();
    private final EndpointDirectory mDirectory =
            EndpointDirectory.create(
                    mScheduler.clock(),
                    new ManualTimers(mScheduler),
                    new RecordingLog(),
                    endpoints ->
                            mPublished =
                                    endpoints.stream().map(EndpointDescription::name).toList());

    private static Feed.Item<EndpointDescription> live(String name) {
        return new Feed.Item<>(name, Optional.of(endpoint(name)), false);
    }

    private static Feed.Item<EndpointDescription> deleted(String name) {
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

    /** Guards against sending work to an endpoint that the store has reported as removed. */
    @Test
    void endpointIsRemovedAtOnceWhileStoreIsAvailable() {
        mDirectory.listed(List.of(live("one"), live("two")));
        mDirectory.changed(List.of(deleted("one")));
        assertThat(mPublished, contains("two"));
    }

    /**
     * Guards against refusing all requests because entries expired during an outage of the store.
     */
    @Test
    void endpointsExpiredDuringOutageStayUntilReregistrationTimeIsOver() {
        mDirectory.listed(List.of(live("one"), live("two")));
        mDirectory.storeUnavailable();
        mScheduler.advance(Duration.ofSeconds(5));
        mDirectory.storeRecovered();
        mDirectory.listed(List.of());
        assertThat(mPublished, containsInAnyOrder("one", "two"));
        mScheduler.advance(Duration.ofMillis(1_500));
        mDirectory.changed(List.of(live("two")));
        mScheduler.advance(Duration.ofMillis(600));
        assertThat(mPublished, contains("two"));
    }

    /** Guards against an endpoint that stays unconfirmed forever when outages follow each other. */
    @Test
    void unconfirmedEndpointIsRemovedAfterLastOutage() {
        mDirectory.listed(List.of(live("one")));
        mDirectory.storeUnavailable();
        mDirectory.storeRecovered();
        mDirectory.listed(List.of());
        mDirectory.storeUnavailable();
        mScheduler.advance(Duration.ofSeconds(3));
        mDirectory.storeRecovered();
        mScheduler.advance(Duration.ofSeconds(5));
        assertThat(mPublished, empty());
    }

    /** Guards against one malformed entry that hides the others, and against using its content. */
    @Test
    void endpointWithMalformedEntryIsRemoved() {
        mDirectory.listed(List.of(live("one"), live("two")));
        mDirectory.changed(List.of(new Feed.Item<>("one", Optional.empty(), false)));
        assertThat(mPublished, contains("two"));
    }
}
