package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.StoreFault;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;

class RoleCoordinatorTest {
    private final ManualScheduler mTime = ManualScheduler.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mTime, mTime.clock());
    private final List<Order> mOrders = new ArrayList<>();
    private boolean mIsChanging;

    /** An order that reached an engine. */
    private record Order(String engine, String holder, long fencingNumber) {}

    private final EngineOrders mEngines =
            new EngineOrders() {
                @Override
                public CompletableFuture<EngineStatus> status(EndpointDescription engine) {
                    return CompletableFuture.completedFuture(
                            new EngineStatus(EndpointRole.DECODE, mIsChanging, 0));
                }

                @Override
                public CompletableFuture<OrderResult> setRole(
                        EndpointDescription engine,
                        EndpointRole role,
                        String holder,
                        long fencingNumber,
                        long acceptedOrders) {
                    mOrders.add(new Order(engine.name(), holder, fencingNumber));
                    return CompletableFuture.completedFuture(OrderResult.ACCEPTED);
                }
            };

    private RoleCoordinator coordinator(String host, FakeObjectStore store) {
        return RoleCoordinator.create(mTime.clock(), store, mEngines, new RecordingLog(), host);
    }

    private static List<EndpointDescription> engines() {
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            engines.add(
                    new EndpointDescription(
                            "engine-" + i,
                            HostAddress.of("10.0.0." + (i + 1), 80),
                            "models",
                            "east-a",
                            "east",
                            true,
                            false,
                            false,
                            i == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE,
                            Set.of()));
        }
        return engines;
    }

    private void wish(RoleCoordinator coordinator) {
        coordinator.wish("models", EndpointRole.PREFILL, engines());
        mTime.runDue();
    }

    /** Guards against two hosts that order for the same reason at the same time. */
    @Test
    void oneOfTwoHostsThatWishAtOnceGivesTheOrder() {
        mStore.setDelay(Duration.ofMillis(10));
        FakeObjectStore other = mStore.anotherClient();
        other.setDelay(Duration.ofMillis(10));
        coordinator("host-a", mStore).wish("models", EndpointRole.PREFILL, engines());
        coordinator("host-b", other).wish("models", EndpointRole.PREFILL, engines());
        mTime.advance(Duration.ofSeconds(2));
        assertThat(mOrders, hasSize(1));
    }

    /** Guards against a second holder within the time in which the first may still act. */
    @Test
    void anotherHostWaitsUntilItHasSeenTheRecordForTheQuietTime() {
        RoleCoordinator second = coordinator("host-b", mStore.anotherClient());
        wish(coordinator("host-a", mStore));
        for (int i = 0; i < 8; i++) {
            wish(second);
            mTime.advance(Duration.ofSeconds(1));
        }
        assertThat(mOrders, hasSize(1));
        mTime.advance(Duration.ofSeconds(2));
        wish(second);
        assertThat(mOrders, hasSize(2));
        assertThat(mOrders.get(1).fencingNumber(), greaterThan(mOrders.get(0).fencingNumber()));
    }

    /** Guards against an order on a right that the store may not have given. */
    @Test
    void writeWithoutAnswerGivesNoRight() {
        mStore.failNextWrite(StoreFault.LOST_AFTER_EFFECT);
        RoleCoordinator coordinator = coordinator("host-a", mStore);
        wish(coordinator);
        mTime.advance(Duration.ofSeconds(5));
        wish(coordinator);
        mTime.advance(Duration.ofSeconds(1));
        assertThat(mOrders, empty());
    }

    /** Guards against an order that was decided long before it is given. */
    @Test
    void rightThatCameTooLateIsNotUsed() {
        coordinator("host-a", mStore).wish("models", EndpointRole.PREFILL, engines());
        // The read has been answered; the write is answered after the longest acquisition.
        mStore.setDelay(Duration.ofMillis(1_600));
        mTime.advance(Duration.ofSeconds(10));
        assertThat(mStore.bytesWritten() > 0, is(true));
        assertThat(mOrders, empty());
    }

    /** Guards against a bound on the acquisition that no right meets. */
    @Test
    void rightThatCameInTimeIsUsed() {
        coordinator("host-a", mStore).wish("models", EndpointRole.PREFILL, engines());
        mStore.setDelay(Duration.ofMillis(1_400));
        mTime.advance(Duration.ofSeconds(10));
        assertThat(mOrders, hasSize(1));
    }

    /** Guards against interrupting an order that an engine still carries out. */
    @Test
    void engineThatIsChangingGetsNoOrder() {
        mIsChanging = true;
        wish(coordinator("host-a", mStore));
        assertThat(mOrders, empty());
    }
}
