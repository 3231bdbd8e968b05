package org.sesamedeck.caller;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sesamedeck.core.ResultCode;

/** Maps every exception of a resource to the JSON error of its result code. */
public final class ErrorMapper implements ExceptionMapper<Throwable> {
    private static final System.Logger LOGGER = System.getLogger(ErrorMapper.class.getName());
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int SERVER_ERROR = 500;

    @Context private HttpServletRequest mRequest;

    private ErrorMapper() {}

    /** Returns a mapper to be registered with Jersey. */
    public static ErrorMapper create() {
        return new ErrorMapper();
    }

    @Override
    public Response toResponse(Throwable throwable) {
        OpenRequest request = (OpenRequest) mRequest.getAttribute(OpenRequest.ATTRIBUTE);
        CallerException failure = record(throwable, request);
        Response.ResponseBuilder response =
                Response.status(failure.code().httpStatus())
                        .type(MediaType.APPLICATION_JSON_TYPE)
                        .entity(ErrorBody.of(failure, request.id()));
        headers(failure, mRequest).forEach(response::header);
        return response.build();
    }

    /**
     * Writes the same error response outside Jersey.
     *
     * @throws IOException when a response is already committed or cannot be written
     */
    static void write(
            Throwable throwable, HttpServletRequest servletRequest, HttpServletResponse response)
            throws IOException {
        OpenRequest request = (OpenRequest) servletRequest.getAttribute(OpenRequest.ATTRIBUTE);
        CallerException failure = record(throwable, request);
        if (response.isCommitted()) {
            throw new IOException("the response is already committed", failure);
        }
        response.reset();
        response.setHeader(RequestFilter.REQUEST_ID_HEADER, request.id());
        response.setStatus(failure.code().httpStatus());
        response.setContentType(MediaType.APPLICATION_JSON);
        headers(failure, servletRequest).forEach(response::setHeader);
        response.getOutputStream()
                .write(ErrorBody.of(failure, request.id()).getBytes(StandardCharsets.UTF_8));
    }

    private static CallerException record(Throwable throwable, OpenRequest request) {
        CallerException failure = failureOf(throwable);
        if (failure.code() == ResultCode.INTERNAL_ERROR) {
            LOGGER.log(System.Logger.Level.ERROR, "request " + request.id() + " failed", throwable);
        }
        request.setCode(failure.code());
        return failure;
    }

    private static Map<String, String> headers(
            CallerException failure, HttpServletRequest request) {
        Map<String, String> headers = new LinkedHashMap<>();
        failure.retryAfter()
                .ifPresent(
                        delay ->
                                headers.put(
                                        "Retry-After",
                                        String.valueOf(Math.max(1, delay.toSeconds()))));
        if (UnreadBody.isOutstanding(request)) {
            headers.put("Connection", "close");
        }
        return headers;
    }

    private static CallerException failureOf(Throwable throwable) {
        if (throwable instanceof WebApplicationException web) {
            int status = web.getResponse().getStatus();
            if (status == NOT_FOUND || status == METHOD_NOT_ALLOWED) {
                return CallerException.of(
                        ResultCode.NOT_FOUND,
                        status == NOT_FOUND
                                ? "no such path"
                                : "the path does not take this method");
            }
            if (status < SERVER_ERROR) {
                return CallerException.of(
                        ResultCode.BAD_REQUEST, "the request is malformed (" + status + ")");
            }
        }
        return CallerException.from(throwable);
    }
}
