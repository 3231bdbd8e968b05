package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.entry.control.ControlClient;
import org.sesamedeck.entry.control.ControlSnapshot;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.AdmissionTicket;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EngineTimeEstimator;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.wire.generated.StoredOutcome;

/** Serves chat completions. */
@Path("/v1/chat/completions")
public final class ChatResource {
    private static final String PATH = "/v1/chat/completions";
    private static final String LAST_EVENT_ID = "Last-Event-ID";

    private final RelayParts mParts;
    private final ControlClient mControl;
    private final Authenticator mAuthenticator;
    private final Admission mAdmission;
    private final BodyReader mBodies;
    private final EngineTimeEstimator mEstimator;
    private final long mMaxOutputTokens;

    /** Builds the resource. */
    @Inject
    ChatResource(
            RelayParts parts,
            ControlClient control,
            AdmissionController admission,
            MemoryBudget budget,
            EngineTimeEstimator estimator,
            Clock clock,
            CallerSettings settings) {
        mParts = parts;
        mControl = control;
        mAuthenticator = Authenticator.of(control);
        mAdmission = Admission.of(admission, clock, settings.deadline());
        mBodies = BodyReader.of(clock, settings.maxBodyBytes(), settings.bodyTimeout(), budget);
        mEstimator = estimator;
        mMaxOutputTokens = settings.maxOutputTokens();
    }

    /** Answers one request; with {@code stream: true} as server-sent events. */
    @POST
    public Response complete(@Context HttpServletRequest servlet, InputStream body) {
        CallerRequest current = (CallerRequest) servlet.getAttribute(CallerRequest.ATTRIBUTE);
        Caller caller = mAuthenticator.authenticate(servlet);
        long deadlineNanos = mAdmission.deadlineNanos(servlet);
        int priority = Admission.priority(servlet, caller.plan());
        byte[] bytes = mBodies.read(body);
        int length = bytes.length;
        current.onClose(() -> mBodies.release(length));
        ChatRequest request = ChatRequest.parse(bytes, mMaxOutputTokens);
        byte[] digest =
                Digests.sha256OfParts(
                        "POST".getBytes(StandardCharsets.UTF_8),
                        PATH.getBytes(StandardCharsets.UTF_8),
                        bytes);
        checkEntitlement(caller, request.model());
        RequestProfile profile = profile(caller, request, priority, deadlineNanos);
        Optional<String> key = Optional.ofNullable(servlet.getHeader(ClaimGuard.HEADER));
        ChatRelay relay =
                ChatRelay.of(mParts, current, request, profile, key.isEmpty(), deadlineNanos);
        ChatDelivery delivery =
                ChatDelivery.of(mParts, mEstimator, current, request, profile, relay);
        String lastEventId = servlet.getHeader(LAST_EVENT_ID);
        if (lastEventId != null && !lastEventId.isEmpty()) {
            ResumeToken token = token(lastEventId, request, profile);
            key.ifPresent(text -> delivery.guardBy(resumedGuard(caller, text, token)));
            relay.resumeFrom(token, isOtherRegion(token));
        } else {
            mParts.retries().recordRequest();
            delivery.chargeTo(admit(profile, current));
            Optional<StoredOutcome> stored =
                    key.flatMap(
                            text -> {
                                ClaimGuard guard =
                                        ClaimGuard.of(
                                                mControl,
                                                caller.customer().name(),
                                                text,
                                                current.uniqueId());
                                delivery.guardBy(guard);
                                return guard.claim(digest, mAdmission.left(deadlineNanos));
                            });
            if (stored.isPresent()) {
                return replay(stored.get(), request);
            }
        }
        current.onClose(relay::close);
        return request.isStream() ? stream(delivery) : collect(delivery);
    }

    private AdmissionTicket admit(RequestProfile profile, CallerRequest current) {
        String service = mControl.snapshot().serviceOfModel(profile.target()).orElse("");
        mParts.metrics().demanded(service, profile.promptTokens(), profile.expectedOutputTokens());
        mParts.metrics().queued(service, 1);
        try {
            return mAdmission.admit(profile, current);
        } finally {
            mParts.metrics().queued(service, -1);
        }
    }

    private void checkEntitlement(Caller caller, String model) {
        if (caller.entitlement().models().contains(model)) {
            return;
        }
        ControlSnapshot snapshot = mControl.snapshot();
        boolean isKnown =
                snapshot.serviceOfModel(model).isPresent()
                        || snapshot.configuration().entitlements().values().stream()
                                .anyMatch(entitlement -> entitlement.models().contains(model));
        throw isKnown
                ? CallerException.of(
                        ResultCode.NOT_ENTITLED,
                        "plan " + caller.plan().name() + " may not use model " + model)
                : CallerException.of(ResultCode.NOT_FOUND, "there is no model " + model);
    }

    private RequestProfile profile(
            Caller caller, ChatRequest request, int priority, long deadlineNanos) {
        return new RequestProfile(
                caller.plan().name(),
                caller.customer().name(),
                request.model(),
                true,
                priority,
                mEstimator.estimatePromptTokens(
                        request.model(), request.messageBytes(), request.tools()),
                mEstimator.estimateOutputTokens(request.model(), request.maxTokens()),
                request.prefixHashes(),
                caller.entitlement().regions(),
                deadlineNanos);
    }

    private ResumeToken token(String text, ChatRequest request, RequestProfile profile) {
        if (!request.isStream()) {
            throw CallerException.of(
                    ResultCode.BAD_REQUEST, LAST_EVENT_ID + " is only for stream: true");
        }
        return mParts.tokens()
                .decode(text, profile.clientAccount())
                .orElseThrow(
                        () ->
                                CallerException.of(
                                        ResultCode.BAD_REQUEST,
                                        LAST_EVENT_ID + " is not a resume token of this customer"));
    }

    private ClaimGuard resumedGuard(Caller caller, String key, ResumeToken token) {
        String attempt = token.streamId().substring(0, token.streamId().lastIndexOf('.'));
        ClaimGuard guard = ClaimGuard.of(mControl, caller.customer().name(), key, attempt);
        guard.resume();
        return guard;
    }

    private boolean isOtherRegion(ResumeToken token) {
        return mControl.snapshot().endpoints().stream()
                .filter(endpoint -> endpoint.name().equals(token.endpoint()))
                .map(EndpointDescription::region)
                .anyMatch(region -> !region.equals(mParts.region()));
    }

    private static Response stream(ChatDelivery delivery) {
        delivery.awaitFirst();
        return eventStream(delivery::writeTo);
    }

    private static Response eventStream(StreamingOutput output) {
        return Response.ok(output)
                .type("text/event-stream;charset=utf-8")
                .header("Cache-Control", "no-cache")
                .header("X-Accel-Buffering", "no")
                .build();
    }

    private static Response collect(ChatDelivery delivery) {
        ObjectNode answer = delivery.collect();
        return Response.ok(answer.toString()).type(MediaType.APPLICATION_JSON_TYPE).build();
    }

    private static Response replay(StoredOutcome outcome, ChatRequest request) {
        if (outcome.getIsTruncated()) {
            throw ClaimGuard.truncated();
        }
        byte[] body = outcome.getBody().toByteArray();
        if (request.isStream() && outcome.getStatus() == Response.Status.OK.getStatusCode()) {
            byte[] events = StoredAnswer.toEvents(body);
            return eventStream(output -> output.write(events));
        }
        return Response.status(outcome.getStatus())
                .type(outcome.getContentType())
                .entity(body)
                .build();
    }
}
