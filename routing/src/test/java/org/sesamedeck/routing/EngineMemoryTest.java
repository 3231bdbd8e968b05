package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class EngineMemoryTest {
    private static final int ENGINES = 4;
    private static final long MEMORY = 400_000;
    private static final long PROMPT = 20_000;
    private static final String SERVICE = "tasting-models";

    private final ManualClock mClock = ManualClock.create();

    private DefaultRouter router(int number, Map<String, Long> memory) {
        DefaultRouter router =
                DefaultRouter.create(
                        mClock,
                        RouterSettings.defaults(RoutingFixtures.REGION),
                        "process-" + number,
                        number);
        router.updateEndpoints(RoutingFixtures.engines(ENGINES, EndpointRole.MIXED));
        router.updateEngineMemory(memory);
        return router;
    }

    private static RequestProfile request(long prompt) {
        return RoutingFixtures.request("gold", "a", prompt, 100, Long.MAX_VALUE);
    }

    /**
     * Guards against engines that end because several processes together send them more than they
     * can hold, while all of them know each other's load.
     */
    @Test
    void processesThatKnowEachOtherStayWithinTheMemory() {
        List<DefaultRouter> routers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            routers.add(router(i, Map.of(SERVICE, MEMORY)));
        }
        Map<String, Long> held = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            DefaultRouter router = routers.get(i % routers.size());
            Map<String, EndpointLoad> others = new HashMap<>();
            for (DefaultRouter other : routers) {
                if (other != router) {
                    other.ownLoad()
                            .forEach(
                                    load ->
                                            others.merge(
                                                    load.endpoint(), load, EndpointLoad::plus));
                }
            }
            router.updatePeerLoad(others);
            router.choose(request(PROMPT), Set.of())
                    .ifPresent(
                            assignment ->
                                    held.merge(
                                            assignment.endpoint().name(), PROMPT + 100, Long::sum));
        }
        assertThat("all engines are used", held.size(), is(ENGINES));
        held.values().forEach(tokens -> assertThat(tokens, is(lessThanOrEqualTo(MEMORY))));
    }

    /** Guards against memory that stays counted after its request has ended. */
    @Test
    void endedRequestsFreeTheirMemory() {
        DefaultRouter router = router(1, Map.of(SERVICE, MEMORY));
        for (int i = 0; i < 200; i++) {
            Optional<Assignment> assignment = router.choose(request(MEMORY / 2), Set.of());
            assertThat(assignment.isPresent(), is(true));
            assignment.get().close();
        }
    }

    /** Guards against a request that waits for an engine that can take it, which none ever will. */
    @Test
    void oversizedRequestHasNoEndpoint() {
        DefaultRouter router = router(1, Map.of(SERVICE, MEMORY));
        assertThat(router.isOversized(request(MEMORY + 1)), is(true));
        assertThat(router.choose(request(MEMORY + 1), Set.of()).isPresent(), is(false));
        assertThat(router.isOversized(request(MEMORY - 200)), is(false));
        assertThat(router.choose(request(MEMORY - 200), Set.of()).isPresent(), is(true));
    }

    /** Guards against a limit where the configuration names none. */
    @Test
    void unknownMemoryIsNoLimit() {
        DefaultRouter router = router(1, Map.of());
        for (int i = 0; i < 100; i++) {
            assertThat(router.choose(request(100 * MEMORY), Set.of()).isPresent(), is(true));
        }
    }
}
