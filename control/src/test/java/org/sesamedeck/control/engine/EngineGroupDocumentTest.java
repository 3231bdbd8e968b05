package org.sesamedeck.control.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.routing.EndpointRole;

class EngineGroupDocumentTest {
    private static EngineState state(String json) throws Exception {
        return HttpEngineClient.toState("engine-0", new ObjectMapper().readTree(json));
    }

    /**
     * Guards against a former lease holder that overwrites the states published by its successor.
     */
    @Test
    void documentsOfALaterLeaseHolderHaveHigherVersions() {
        long former = EngineGroupDocument.version(41, 4_000_000);
        assertThat(EngineGroupDocument.version(42, 1), greaterThan(former));
    }

    /** Guards against losing a field of an engine state, or publishing the engines unsorted. */
    @Test
    void documentRoundTripKeepsEngineStates() {
        EngineState second = new EngineState("b", EndpointRole.DECODE, Set.of("m"), true, false);
        EngineState first = new EngineState("a", EndpointRole.MIXED, Set.of(), false, true);
        EngineGroupDocument document = new EngineGroupDocument(List.of(second, first));
        assertThat(
                EngineGroupDocument.parse(document.toDocument(3, 9)).engines(),
                contains(first, second));
    }

    /** Guards against treating an engine with a command in progress as idle, or the reverse. */
    @Test
    void commandInProgressMeansChanging() throws Exception {
        assertThat(state("{\"commandInProgress\":null}").isChanging(), is(false));
        assertThat(state("{\"commandInProgress\":\"\"}").isChanging(), is(false));
        assertThat(state("{\"commandInProgress\":false}").isChanging(), is(false));
        assertThat(state("{\"commandInProgress\":\"c-1\"}").isChanging(), is(true));
        assertThat(state("{}").isChanging(), is(false));
    }

    /** Guards against excluding an engine with an unknown role from routing. */
    @Test
    void unknownRoleCountsAsMixed() throws Exception {
        assertThat(state("{\"role\":\"other\"}").role(), is(EndpointRole.MIXED));
        EngineState prefill =
                state(
                        "{\"role\":\"prefill\",\"models\":[\"m\",{\"name\":\"n\"}],\"draining\":true}");
        assertThat(prefill.role(), is(EndpointRole.PREFILL));
        assertThat(prefill.models(), is(Set.of("m", "n")));
        assertThat(prefill.isDraining(), is(true));
    }
}
