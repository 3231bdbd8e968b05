package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.EngineTraits;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.RouterSettings;

/** Tests where responses go on whose prompt was processed in another region than the process's. */
class PhaseSplitPolicyTest {
    private static final int ENGINES_PER_REGION = 4;

    private final DefaultRouter mRouter =
            DefaultRouter.create(
                    ManualClock.create(),
                    RouterSettings.defaults("east")
                            .withTraits(new EngineTraits(true, false, 64, 0)),
                    "node",
                    7);
    private final PhaseSplitPolicy mPolicy =
            PhaseSplitPolicy.of(
                    mRouter,
                    new RequestSettings(
                            0.1, 10, true, Duration.ofMillis(10), Duration.ofMillis(250), 1 << 20));
    private final EndpointDescription mPromptEngine = engine("prompt", "west", 99);
    private final Set<String> mWest = new HashSet<>();

    private static EndpointDescription engine(String name, String region, int number) {
        return new EndpointDescription(
                name,
                HostAddress.of("10.0.0." + number, 80),
                "models",
                region + "-a",
                region,
                true,
                false,
                false,
                name.equals("prompt") ? EndpointRole.PREFILL : EndpointRole.DECODE,
                Set.of("models/m"));
    }

    private static RequestProfile profile() {
        return new RequestProfile(
                "", "", "models/m", true, 5, 12_000, 20, new long[0], 0, Set.of(), 0);
    }

    private void listEngines() {
        List<EndpointDescription> engines = new ArrayList<>(List.of(mPromptEngine));
        for (int i = 0; i < ENGINES_PER_REGION; i++) {
            engines.add(engine("east-" + i, "east", 1 + i));
            engines.add(engine("west-" + i, "west", 11 + i));
            mWest.add("west-" + i);
        }
        mRouter.updateEndpoints(engines);
    }

    private String regionOfResponse(Set<String> excluded) {
        try (Assignment assignment =
                mPolicy.choose(
                                profile(),
                                RequestPhase.DECODE,
                                Optional.of(new ProcessedPrompt(mPromptEngine, "h")),
                                excluded,
                                Set.of())
                        .orElseThrow()) {
            return assignment.endpoint().region();
        }
    }

    /** Guards against transfers of long prompts between regions, behind which all others wait. */
    @Test
    void responseGoesOnInTheRegionOfItsPrompt() {
        listEngines();
        for (int i = 0; i < 50; i++) {
            assertThat(regionOfResponse(Set.of()), is("west"));
        }
    }

    /** Guards against refusing a response that an engine of another region could take. */
    @Test
    void responseGoesOnElsewhereWhenItsRegionHasNoEngineLeft() {
        listEngines();
        assertThat(regionOfResponse(mWest), is("east"));
    }
}
