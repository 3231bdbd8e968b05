package org.sesamedeck.gateway;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.request.CallerRequest;

/** Reads the request to explain from the parameters of a query. */
final class ExplanationQuery {
    private static final String HOST = "host";
    private static final String PATH = "path";
    private static final String MODEL = "model";
    private static final String PROMPT_TOKENS = "prompt-tokens";
    private static final String OUTPUT_TOKENS = "output-tokens";
    private static final String REQUEST_ID = "request-id";
    private static final Set<String> PARAMETERS =
            Set.of(HOST, PATH, MODEL, PROMPT_TOKENS, OUTPUT_TOKENS, REQUEST_ID);

    private static final int MAX_TOKENS = 100_000_000;

    private final Map<String, List<String>> mParameters;

    private ExplanationQuery(Map<String, List<String>> parameters) {
        mParameters = parameters;
    }

    /**
     * Returns the request that the query describes; it has no key.
     *
     * @throws SesamedeckException with BAD_REQUEST for a missing, unknown or malformed parameter
     */
    static CallerRequest parse(String uri) {
        try {
            return new ExplanationQuery(new QueryStringDecoder(uri).parameters()).request();
        } catch (IllegalArgumentException malformed) {
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST, "malformed escape sequence in the query", malformed);
        }
    }

    private CallerRequest request() {
        mParameters.keySet().stream()
                .filter(name -> !PARAMETERS.contains(name))
                .findFirst()
                .ifPresent(name -> reject("parameter \"" + name + "\" is unknown"));
        String host = required(HOST);
        String path = required(PATH);
        if (!path.startsWith("/")) {
            reject("parameter \"path\" must begin with a slash");
        }
        return new CallerRequest(
                value(REQUEST_ID).orElse("explanation"),
                host,
                path,
                Optional.empty(),
                value(MODEL),
                tokens(PROMPT_TOKENS),
                tokens(OUTPUT_TOKENS),
                List.of(),
                OptionalLong.empty());
    }

    private Optional<String> value(String name) {
        return Optional.ofNullable(mParameters.get(name)).map(values -> values.get(0));
    }

    private String required(String name) {
        Optional<String> value = value(name).filter(text -> !text.isEmpty());
        if (value.isEmpty()) {
            reject("parameter \"" + name + "\" is missing");
        }
        return value.get();
    }

    private int tokens(String name) {
        String text = value(name).orElse("0");
        if (!text.matches("[0-9]{1,9}") || Integer.parseInt(text) > MAX_TOKENS) {
            reject("parameter \"" + name + "\" must be a whole number from 0 to " + MAX_TOKENS);
        }
        return Integer.parseInt(text);
    }

    private static void reject(String message) {
        throw SesamedeckException.of(ResultCode.BAD_REQUEST, message);
    }
}
