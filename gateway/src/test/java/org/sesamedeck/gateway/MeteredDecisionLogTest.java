package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.RequestOutcome;
import org.sesamedeck.request.RequestTrace;
import org.sesamedeck.routing.StartPolicy;

class MeteredDecisionLogTest {
    /** Guards against refusals for a quarantined part that metrics do not tell from overload. */
    @Test
    void refusalsAreCountedByCode() {
        MeteredDecisionLog log = MeteredDecisionLog.over(new RecordingLog());
        RequestTrace trace = RequestTrace.of("r1", "route");
        trace.add(Decision.REFUSED, 0).with("code", ResultCode.PART_QUARANTINED.number());
        trace.end(RequestOutcome.REFUSED, 0, 0);
        log.requestEnded(trace);
        MetricsText text = MetricsText.create();
        log.write(text);
        assertThat(text.toString(), containsString("sesamedeck_refusals_total{code=\"2007\"} 1\n"));
    }

    /** Guards against an overload of which metrics do not show how many requests it turned away. */
    @Test
    void startsAreCountedByVerdict() {
        MeteredDecisionLog log = MeteredDecisionLog.over(new RecordingLog());
        RequestTrace trace = RequestTrace.of("r1", "route");
        trace.add(Decision.ADMITTED, 0).with("start", StartPolicy.Verdict.REFUSE);
        trace.end(RequestOutcome.REFUSED, 0, 0);
        log.requestEnded(trace);
        MetricsText text = MetricsText.create();
        log.write(text);
        assertThat(
                text.toString(), containsString("sesamedeck_starts_total{start=\"refuse\"} 1\n"));
    }
}
