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

/** Serves OpenAI-style chat completions. */
@Path("/v1/chat/completions")
public final class ChatResource {
    private static final String PATH = "/v1/chat/completions";
    private static final String LAST_EVENT_ID_HEADER = "Last-Event-ID";

    private final RelayContext mContext;
    private final ControlClient mControl;
    private final Authenticator mAuthenticator;
    private final RequestAdmission mAdmission;
    private final BodyReader mBodyReader;
    private final EngineTimeEstimator mEstimator;
    private final long mMaxOutputTokens;

    /** A request with the digest of its body, of which nothing else is kept. */
    private record ReceivedChat(ChatRequest request, byte[] digest) {}

    /** Builds the resource. */
    @Inject
    ChatResource(
            RelayContext context,
            ControlClient control,
            AdmissionController admissionController,
            EngineTimeEstimator estimator,
            Clock clock,
            CallerSettings settings) {
        mContext = context;
        mControl = control;
        mAuthenticator = Authenticator.of(control);
        mAdmission = RequestAdmission.of(admissionController, clock, settings.deadline());
        mBodyReader = BodyReader.of(clock, settings.maxBodyBytes(), settings.bodyTimeout());
        mEstimator = estimator;
        mMaxOutputTokens = settings.maxOutputTokens();
    }

    /** Completes one chat; {@code stream: true} selects a response of server-sent events. */
    @POST
    public Response complete(@Context HttpServletRequest servletRequest, InputStream body) {
        OpenRequest openRequest = (OpenRequest) servletRequest.getAttribute(OpenRequest.ATTRIBUTE);
        Caller caller = mAuthenticator.authenticate(servletRequest);
        long deadlineNanos = mAdmission.deadlineNanos(servletRequest);
        int priority = RequestAdmission.priority(servletRequest, caller.plan());
        ReceivedChat received =
                receive(
                        body,
                        servletRequest.getContentLengthLong(),
                        RequestMemory.of(servletRequest, openRequest));
        ChatRequest request = received.request();
        checkEntitlement(caller, request.model());
        RequestProfile profile = requestProfile(caller, request, priority, deadlineNanos);
        ChatPromptGuard promptGuard =
                ChatPromptGuard.of(mContext, request, caller.clientAccount().name());
        Optional<String> idempotencyKey =
                Optional.ofNullable(servletRequest.getHeader(ClaimGuard.HEADER));
        ChatRelay relay =
                ChatRelay.of(
                        mContext,
                        openRequest,
                        request,
                        profile,
                        promptGuard,
                        idempotencyKey.isEmpty(),
                        deadlineNanos);
        ChatDelivery delivery =
                ChatDelivery.of(mContext, mEstimator, openRequest, request, profile, relay);
        String lastEventId = servletRequest.getHeader(LAST_EVENT_ID_HEADER);
        if (lastEventId != null && !lastEventId.isEmpty()) {
            ResumeToken token = decodeResumeToken(lastEventId, request, profile);
            idempotencyKey.ifPresent(key -> delivery.setGuard(resumedGuard(caller, key, token)));
            relay.resumeFrom(token, isOtherRegion(token));
        } else {
            promptGuard.check();
            mContext.retryBudget().recordRequest();
            delivery.setTicket(admit(profile, openRequest));
            Optional<StoredOutcome> stored =
                    idempotencyKey.flatMap(
                            key -> {
                                ClaimGuard guard =
                                        ClaimGuard.of(
                                                mControl,
                                                caller.clientAccount().name(),
                                                key,
                                                openRequest.uniqueId());
                                delivery.setGuard(guard);
                                return guard.claim(
                                        received.digest(), mAdmission.remaining(deadlineNanos));
                            });
            if (stored.isPresent()) {
                return replay(stored.get(), request);
            }
        }
        openRequest.onClose(relay::close);
        return request.isStream() ? stream(delivery) : collect(delivery);
    }

    /** Reads and parses a body; only what the request retains of it remains reserved. */
    private ReceivedChat receive(InputStream body, long announcedBytes, RequestMemory memory) {
        byte[] bytes = mBodyReader.read(body, announcedBytes, memory);
        long parsingBytes = ChatRequest.parsingBytes(bytes.length);
        memory.reserve(parsingBytes);
        ChatRequest request = ChatRequest.parse(bytes, mMaxOutputTokens);
        byte[] digest =
                Digests.sha256OfParts(
                        "POST".getBytes(StandardCharsets.UTF_8),
                        PATH.getBytes(StandardCharsets.UTF_8),
                        bytes);
        memory.release(parsingBytes + bytes.length);
        memory.reserve(request.retainedBytes());
        return new ReceivedChat(request, digest);
    }

    private AdmissionTicket admit(RequestProfile profile, OpenRequest openRequest) {
        String service = mControl.snapshot().serviceOfModel(profile.target()).orElse("");
        mContext.metrics()
                .recordDemand(service, profile.promptTokens(), profile.expectedOutputTokens());
        mContext.metrics().adjustQueued(service, 1);
        try {
            return mAdmission.admit(profile, openRequest);
        } finally {
            mContext.metrics().adjustQueued(service, -1);
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

    private RequestProfile requestProfile(
            Caller caller, ChatRequest request, int priority, long deadlineNanos) {
        return new RequestProfile(
                caller.plan().name(),
                caller.clientAccount().name(),
                request.model(),
                true,
                priority,
                mEstimator.estimatePromptTokens(
                        request.model(), request.messageBytes(), request.toolCount()),
                mEstimator.estimateOutputTokens(request.model(), request.maxTokens()),
                request.prefixHashes(),
                caller.entitlement().regions(),
                deadlineNanos);
    }

    private ResumeToken decodeResumeToken(
            String text, ChatRequest request, RequestProfile profile) {
        if (!request.isStream()) {
            throw CallerException.of(
                    ResultCode.BAD_REQUEST, LAST_EVENT_ID_HEADER + " is only for stream: true");
        }
        return mContext.resumeTokens()
                .decode(text, profile.clientAccount())
                .orElseThrow(
                        () ->
                                CallerException.of(
                                        ResultCode.BAD_REQUEST,
                                        LAST_EVENT_ID_HEADER
                                                + " is not a resume token of this customer"));
    }

    private ClaimGuard resumedGuard(Caller caller, String idempotencyKey, ResumeToken token) {
        // The claim was made under the stream identifier without its attempt number.
        String attemptId = token.streamId().substring(0, token.streamId().lastIndexOf('.'));
        ClaimGuard guard =
                ClaimGuard.of(mControl, caller.clientAccount().name(), idempotencyKey, attemptId);
        guard.resume();
        return guard;
    }

    private boolean isOtherRegion(ResumeToken token) {
        return mControl.snapshot().endpoints().stream()
                .filter(endpoint -> endpoint.name().equals(token.endpoint()))
                .map(EndpointDescription::region)
                .anyMatch(region -> !region.equals(mContext.region()));
    }

    private static Response stream(ChatDelivery delivery) {
        delivery.awaitFirstEvent();
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
        ObjectNode response = delivery.collect();
        return Response.ok(response.toString()).type(MediaType.APPLICATION_JSON_TYPE).build();
    }

    private static Response replay(StoredOutcome outcome, ChatRequest request) {
        if (outcome.getIsTruncated()) {
            throw ClaimGuard.truncatedOutcome();
        }
        byte[] body = outcome.getBody().toByteArray();
        if (request.isStream() && outcome.getStatus() == Response.Status.OK.getStatusCode()) {
            byte[] events = StoredResponse.toEvents(body);
            return eventStream(output -> output.write(events));
        }
        return Response.status(outcome.getStatus())
                .type(outcome.getContentType())
                .entity(body)
                .build();
    }
}
