package org.sesamedeck.caller;

import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.entry.control.ControlClient;
import org.slf4j.MDC;

/**
 * Wraps every request: assigns its identifier, refuses it while the process is stopping, has no
 * contact with the control process or is told by it to refuse requests, counts it as open until its
 * response has been written, and logs one line.
 */
public final class RequestFilter implements Filter {
    /** Header with the request identifier, on requests and responses. */
    static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final System.Logger LOGGER = System.getLogger(RequestFilter.class.getName());
    private static final Pattern VALID_ID = Pattern.compile("[A-Za-z0-9._:-]{1,100}");
    private static final int ID_BYTES = 12;
    private static final int UNIQUE_SUFFIX_BYTES = 6;

    private final OpenRequests mOpenRequests;
    private final ControlClient mControl;
    private final EntryMetrics mMetrics;
    private final Clock mClock;
    private final SecureRandom mRandom = new SecureRandom();

    private RequestFilter(
            OpenRequests openRequests, ControlClient control, EntryMetrics metrics, Clock clock) {
        mOpenRequests = openRequests;
        mControl = control;
        mMetrics = metrics;
        mClock = clock;
    }

    /** Returns a filter for all paths of the caller port. */
    public static RequestFilter of(
            OpenRequests openRequests, ControlClient control, EntryMetrics metrics, Clock clock) {
        return new RequestFilter(openRequests, control, metrics, clock);
    }

    @Override
    public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        HttpServletRequest httpRequest = (HttpServletRequest) request;
        HttpServletResponse httpResponse = (HttpServletResponse) response;
        OpenRequest openRequest =
                OpenRequest.of(
                        requestId(httpRequest),
                        randomHex(UNIQUE_SUFFIX_BYTES),
                        httpRequest.getMethod() + " " + httpRequest.getRequestURI(),
                        mClock.nanoTime());
        httpRequest.setAttribute(OpenRequest.ATTRIBUTE, openRequest);
        httpResponse.setHeader(REQUEST_ID_HEADER, openRequest.id());
        mMetrics.requestStarted();
        boolean isAccepted = mOpenRequests.tryOpen(openRequest);
        try {
            Optional<String> refusal = mControl.refusalReason();
            if (!isAccepted) {
                refuse(ResultCode.STOPPING, "this process is stopping", httpRequest, httpResponse);
            } else if (refusal.isPresent()) {
                refuse(ResultCode.UNAVAILABLE, refusal.get(), httpRequest, httpResponse);
            } else {
                chain.doFilter(request, response);
            }
            // The response is flushed before the request stops counting as open.
            httpResponse.flushBuffer();
        } catch (IOException connectionFailure) {
            openRequest.setCallerDisconnected();
            throw connectionFailure;
        } finally {
            openRequest.close();
            mOpenRequests.close(openRequest);
            finish(openRequest, httpResponse.getStatus());
        }
        UnreadBody.discard(httpRequest, mClock);
    }

    private String requestId(HttpServletRequest request) {
        String headerValue = request.getHeader(REQUEST_ID_HEADER);
        if (headerValue != null && VALID_ID.matcher(headerValue).matches()) {
            return headerValue;
        }
        return randomHex(ID_BYTES);
    }

    private String randomHex(int length) {
        byte[] bytes = new byte[length];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static void refuse(
            ResultCode code,
            String message,
            HttpServletRequest request,
            HttpServletResponse response)
            throws IOException {
        ErrorMapper.write(CallerException.of(code, message), request, response);
    }

    private void finish(OpenRequest openRequest, int status) {
        openRequest.code().ifPresent(mMetrics::requestFailed);
        if (openRequest.isCallerDisconnected()) {
            mMetrics.callerDisconnected();
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(mClock.nanoTime() - openRequest.startNanos());
        MDC.put("requestId", openRequest.id());
        MDC.put("customer", openRequest.clientAccount());
        MDC.put("endpoint", openRequest.endpoint());
        MDC.put("resultCode", openRequest.code().map(code -> "" + code.number()).orElse("0"));
        MDC.put("status", String.valueOf(status));
        MDC.put("millis", String.valueOf(millis));
        MDC.put("callerGone", String.valueOf(openRequest.isCallerDisconnected()));
        try {
            LOGGER.log(System.Logger.Level.INFO, "finished {0}", openRequest.methodAndPath());
        } finally {
            MDC.clear();
        }
    }
}
