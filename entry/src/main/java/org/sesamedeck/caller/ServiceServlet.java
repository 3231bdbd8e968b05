package org.sesamedeck.caller;

import com.google.inject.Inject;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.EndpointResponse;
import org.sesamedeck.entry.control.ControlClient;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.wire.generated.StoredOutcome;

/**
 * Forwards requests with any method to plain services, which are services without engines. This is
 * a servlet and not a Jersey resource, because Jersey needs to know every method in advance, and it
 * terminates a response normally where this class must close the connection to signal an incomplete
 * response.
 */
public final class ServiceServlet extends HttpServlet {
    private static final long serialVersionUID = 1L;

    /** Bodies up to this size are buffered, so that they can be sent again. */
    private static final long MAX_BUFFERED_BYTES = 64 * 1024;

    /** Detects an unresponsive endpoint; a disconnected caller is detected by a failed write. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);

    private final transient RelayContext mContext;
    private final transient ControlClient mControl;
    private final transient Authenticator mAuthenticator;
    private final transient RequestAdmission mAdmission;
    private final transient BodyReader mBodyReader;

    /** Builds the servlet. */
    @Inject
    ServiceServlet(
            RelayContext context,
            ControlClient control,
            AdmissionController admissionController,
            Clock clock,
            CallerSettings settings) {
        mContext = context;
        mControl = control;
        mAuthenticator = Authenticator.of(control);
        mAdmission = RequestAdmission.of(admissionController, clock, settings.deadline());
        mBodyReader = BodyReader.of(clock, settings.maxBodyBytes(), settings.bodyTimeout());
    }

    @Override
    protected void service(HttpServletRequest servletRequest, HttpServletResponse response)
            throws IOException {
        OpenRequest openRequest = (OpenRequest) servletRequest.getAttribute(OpenRequest.ATTRIBUTE);
        try {
            serve(servletRequest, response, openRequest);
        } catch (RuntimeException failure) {
            ErrorMapper.write(failure, servletRequest, response);
        }
    }

    private void serve(
            HttpServletRequest servletRequest,
            HttpServletResponse response,
            OpenRequest openRequest)
            throws IOException {
        Caller caller = mAuthenticator.authenticate(servletRequest);
        long deadlineNanos = mAdmission.deadlineNanos(servletRequest);
        int priority = RequestAdmission.priority(servletRequest, caller.plan());
        ServiceRequest request = ServiceRequest.of(servletRequest);
        checkEntitlement(caller, request.service());
        Optional<ClaimGuard> guard =
                Optional.ofNullable(servletRequest.getHeader(ClaimGuard.HEADER))
                        .map(
                                idempotencyKey ->
                                        ClaimGuard.of(
                                                mControl,
                                                caller.clientAccount().name(),
                                                idempotencyKey,
                                                openRequest.uniqueId()));
        ServiceBody body = body(servletRequest, openRequest, guard.isPresent());
        RequestProfile profile =
                new RequestProfile(
                        caller.plan().name(),
                        caller.clientAccount().name(),
                        request.service(),
                        false,
                        priority,
                        0,
                        0,
                        new long[0],
                        caller.entitlement().regions(),
                        deadlineNanos);
        mContext.retryBudget().recordRequest();
        mAdmission.admit(profile, openRequest);
        ServiceRelay relay =
                new ServiceRelay(
                        mContext,
                        openRequest,
                        request,
                        body,
                        profile,
                        mAdmission,
                        mBodyReader,
                        guard.isPresent());
        openRequest.onClose(relay::close);
        try {
            Optional<StoredOutcome> stored =
                    guard.flatMap(
                            claimGuard ->
                                    claimGuard.claim(
                                            digest(request, body),
                                            mAdmission.remaining(deadlineNanos)));
            if (stored.isPresent()) {
                replay(stored.get(), response);
                return;
            }
            relayResponse(relay, relay.send(), guard, response, openRequest);
        } catch (RuntimeException failure) {
            CallerException callerException = CallerException.from(failure);
            guard.ifPresent(claimGuard -> claimGuard.failed(callerException));
            throw callerException;
        }
    }

    private void checkEntitlement(Caller caller, String service) {
        if (caller.entitlement().services().contains(service)) {
            return;
        }
        boolean isKnown =
                mControl.snapshot().endpoints().stream()
                                .anyMatch(
                                        endpoint ->
                                                !endpoint.isEngine()
                                                        && endpoint.service().equals(service))
                        || mControl.snapshot().configuration().entitlements().values().stream()
                                .anyMatch(entitled -> entitled.services().contains(service));
        throw isKnown
                ? CallerException.of(
                        ResultCode.NOT_ENTITLED,
                        "plan " + caller.plan().name() + " may not use service " + service)
                : CallerException.of(ResultCode.NOT_FOUND, "there is no service " + service);
    }

    private ServiceBody body(
            HttpServletRequest servletRequest, OpenRequest openRequest, boolean hasIdempotencyKey)
            throws IOException {
        long length = servletRequest.getContentLengthLong();
        boolean hasBody = length > 0 || servletRequest.getHeader("Transfer-Encoding") != null;
        if (!hasBody) {
            return length == 0 ? ServiceBody.buffered(new byte[0]) : ServiceBody.none();
        }
        if (hasIdempotencyKey || length > 0 && length <= MAX_BUFFERED_BYTES) {
            RequestMemory memory = RequestMemory.of(servletRequest, openRequest);
            return ServiceBody.buffered(
                    mBodyReader.read(servletRequest.getInputStream(), length, memory));
        }
        return ServiceBody.streamed(servletRequest.getInputStream(), length);
    }

    private static byte[] digest(ServiceRequest request, ServiceBody body) {
        return Digests.sha256OfParts(
                request.method().getBytes(StandardCharsets.UTF_8),
                (request.service() + request.path()).getBytes(StandardCharsets.UTF_8),
                body.buffered().orElse(new byte[0]));
    }

    private static void replay(StoredOutcome outcome, HttpServletResponse response)
            throws IOException {
        if (outcome.getIsTruncated()) {
            throw ClaimGuard.truncatedOutcome();
        }
        response.setStatus(outcome.getStatus());
        if (!outcome.getContentType().isEmpty()) {
            response.setContentType(outcome.getContentType());
        }
        response.getOutputStream().write(outcome.getBody().toByteArray());
    }

    private void relayResponse(
            ServiceRelay relay,
            EndpointResponse endpointResponse,
            Optional<ClaimGuard> guard,
            HttpServletResponse response,
            OpenRequest openRequest)
            throws IOException {
        response.setStatus(endpointResponse.status());
        Set<String> connectionOptions =
                ServiceRequest.connectionOptions(
                        endpointResponse.headers().getOrDefault("connection", List.of()));
        endpointResponse
                .headers()
                .forEach(
                        (name, values) -> {
                            boolean isLength = name.equals("content-length");
                            boolean isEntryHeader =
                                    name.equals("x-request-id") || name.equals("x-load");
                            if (isLength
                                    || !isEntryHeader
                                            && !ServiceRequest.isHopByHop(
                                                    name, connectionOptions)) {
                                values.forEach(value -> response.addHeader(name, value));
                            }
                        });
        ByteArrayOutputStream copied = new ByteArrayOutputStream();
        boolean isCopyComplete = false;
        try {
            isCopyComplete =
                    relayBody(relay, response.getOutputStream(), copied, guard.isPresent());
        } catch (SesamedeckException failure) {
            relay.recordIncomplete();
            if (!response.isCommitted()) {
                throw CallerException.of(
                        ResultCode.OUTCOME_UNKNOWN, "the endpoint broke its answer off");
            }
            openRequest.setCode(ResultCode.OUTCOME_UNKNOWN);
            // Aborts the connection, so that a partial response does not look complete.
            throw new IOException("the endpoint ended its response early", failure);
        } catch (IOException connectionFailure) {
            openRequest.setCallerDisconnected();
            throw connectionFailure;
        }
        relay.recordCompleted(endpointResponse);
        boolean isTruncated = !isCopyComplete;
        guard.ifPresent(
                claimGuard ->
                        claimGuard.recordOutcome(
                                endpointResponse.status(),
                                endpointResponse.header("Content-Type").orElse(""),
                                copied.toByteArray(),
                                isTruncated));
    }

    /** Relays the body; returns false when its copy for the claim store exceeded the limit. */
    private boolean relayBody(
            ServiceRelay relay,
            OutputStream output,
            ByteArrayOutputStream copied,
            boolean shouldCopy)
            throws IOException {
        boolean isCopyComplete = true;
        while (true) {
            byte[] chunk =
                    relay.exchange()
                            .read(READ_TIMEOUT)
                            .orElseThrow(
                                    () ->
                                            SesamedeckException.of(
                                                    ResultCode.OUTCOME_UNKNOWN,
                                                    "the endpoint fell silent"));
            if (chunk.length == 0) {
                return isCopyComplete;
            }
            if (shouldCopy && isCopyComplete) {
                isCopyComplete = copied.size() + chunk.length <= ClaimGuard.MAX_STORED_BYTES;
                if (isCopyComplete) {
                    copied.write(chunk);
                }
            }
            if (relay.isOtherRegion()) {
                mContext.metrics().otherRegionBytes(chunk.length);
            }
            output.write(chunk);
            output.flush();
        }
    }
}
