package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/** Formats the JSON error object that is sent to callers. */
final class ErrorBody {
    private static final ObjectMapper MAPPER = Json.newMapper();
    private static final int SERVER_ERROR = 500;
    private static final int TOO_MANY_REQUESTS = 429;

    private ErrorBody() {}

    static String of(CallerException failure, String requestId) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putObject("error")
                .put("code", failure.code().number())
                .put("name", failure.code().name())
                .put("message", failure.getMessage())
                .put("type", type(failure.code().httpStatus()))
                .put("request_id", requestId)
                .put("executed", failure.execution().name().toLowerCase(Locale.ROOT))
                .put("retryable", failure.code().isRetryable());
        return body.toString();
    }

    private static String type(int status) {
        if (status == TOO_MANY_REQUESTS) {
            return "rate_limit_error";
        }
        return status < SERVER_ERROR ? "invalid_request_error" : "server_error";
    }
}
