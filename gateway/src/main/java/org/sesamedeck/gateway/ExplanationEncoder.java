package org.sesamedeck.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.request.RequestExplanation;
import org.sesamedeck.routing.CandidateExplanation;
import org.sesamedeck.routing.RoutingExplanation;

/** Writes explanations as JSON. Fields without a value are left out. */
final class ExplanationEncoder {
    /** Bounds the page; compared endpoints come first. */
    private static final int MAX_CANDIDATES = 64;

    private static final double NANOS_PER_MILLI = 1e6;

    private final JsonFactory mFactory = new JsonFactory();

    String encode(RequestExplanation explanation) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = mFactory.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("outcome", explanation.outcome().name());
            json.writeStringField("cause", explanation.cause());
            if (explanation.code().isPresent()) {
                json.writeNumberField("code", explanation.code().get().number());
            }
            writeText(json, "route", explanation.route());
            writeText(json, "account", explanation.account());
            writeText(json, "service", explanation.service());
            writeText(json, "phase", explanation.phase().map(Enum::name));
            if (explanation.queue().isPresent()) {
                writeQueue(json, explanation.queue().get());
            }
            writeRouting(json, explanation.routing());
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.append('\n').toString();
    }

    private static void writeQueue(JsonGenerator json, RequestExplanation.QueueState queue)
            throws IOException {
        json.writeObjectFieldStart("queue");
        json.writeNumberField("ahead", queue.ahead());
        json.writeNumberField("inProgress", queue.inProgress());
        if (Double.isFinite(queue.limit())) {
            json.writeNumberField("limit", queue.limit());
        }
        json.writeEndObject();
    }

    private static void writeRouting(JsonGenerator json, RoutingExplanation routing)
            throws IOException {
        writeText(json, "chosen", routing.chosen());
        writeMillis(json, "expectedStartMillis", routing.expectedStart());
        List<CandidateExplanation> candidates = routing.candidates();
        json.writeArrayFieldStart("candidates");
        for (CandidateExplanation candidate :
                candidates.subList(0, Math.min(MAX_CANDIDATES, candidates.size()))) {
            writeCandidate(json, candidate);
        }
        json.writeEndArray();
        json.writeNumberField("candidatesOmitted", Math.max(0, candidates.size() - MAX_CANDIDATES));
    }

    private static void writeCandidate(JsonGenerator json, CandidateExplanation candidate)
            throws IOException {
        json.writeStartObject();
        json.writeStringField("endpoint", candidate.endpoint());
        json.writeStringField("failureDomain", candidate.failureDomain());
        json.writeStringField("role", candidate.role().name());
        writeMillis(json, "expectedWaitMillis", Optional.of(candidate.expectedWait()));
        writeMillis(json, "costMillis", candidate.cost());
        writeMillis(json, "rankingCostMillis", candidate.rankingCost());
        writeMillis(json, "loadAgeMillis", candidate.loadAge());
        writeText(json, "exclusion", candidate.exclusion().map(Enum::name));
        json.writeEndObject();
    }

    private static void writeText(JsonGenerator json, String name, Optional<String> value)
            throws IOException {
        if (value.isPresent()) {
            json.writeStringField(name, value.get());
        }
    }

    private static void writeMillis(JsonGenerator json, String name, Optional<Duration> value)
            throws IOException {
        if (value.isPresent()) {
            json.writeNumberField(name, value.get().toNanos() / NANOS_PER_MILLI);
        }
    }
}
