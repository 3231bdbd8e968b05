package org.sesamedeck.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.Callable;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.core.SettingTypes;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Asks a gateway process where a request would go now, and prints the answer. */
@Command(
        name = "explain",
        description = "Show where a gateway would send a request now, and why, without sending it.",
        mixinStandardHelpOptions = true)
final class ExplainCommand implements Callable<Integer> {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final String MISSING = "-";

    @Option(
            names = "--gateway",
            paramLabel = "ADDRESS",
            required = true,
            description = "IP address and port of the gateway's status server.")
    private String mGateway;

    @Option(names = "--host", required = true, description = "Host name of the request.")
    private String mHost;

    @Option(names = "--path", required = true, description = "Path of the request.")
    private String mPath;

    @Option(names = "--model", description = "Requested model.")
    private String mModel;

    @Option(names = "--prompt-tokens", description = "Prompt length in tokens.")
    private Integer mPromptTokens;

    @Option(names = "--output-tokens", description = "Limit on the response length in tokens.")
    private Integer mOutputTokens;

    @Option(
            names = "--request-id",
            description = "Identifier, which picks the service where a route has several.")
    private String mRequestId;

    @Option(names = "--output", defaultValue = "TABLE", description = "table or json.")
    private OutputFormat mOutput;

    @Spec private CommandSpec mSpec;

    private final StatusPageReader mPages;

    ExplainCommand(StatusPageReader pages) {
        mPages = pages;
    }

    @Override
    public Integer call() {
        JsonNode explanation = read();
        PrintWriter output = mSpec.commandLine().getOut();
        if (mOutput == OutputFormat.JSON) {
            OperatorContext.printJson(output, explanation);
        } else {
            print(output, explanation);
        }
        return ExitStatus.OK.number();
    }

    private JsonNode read() {
        HostAddress gateway =
                SettingTypes.address()
                        .parse(mGateway)
                        .orElseThrow(
                                () ->
                                        SesamedeckException.of(
                                                ResultCode.BAD_REQUEST,
                                                "--gateway \""
                                                        + mGateway
                                                        + "\": allowed is "
                                                        + SettingTypes.address().allowed()));
        StatusPageReader.Page page = mPages.read(gateway, "/explain?" + query());
        if (page.status() != OK) {
            throw SesamedeckException.of(
                    page.status() == BAD_REQUEST ? ResultCode.BAD_REQUEST : ResultCode.UNAVAILABLE,
                    "the gateway responded with " + page.status() + ": " + page.text().strip());
        }
        try {
            return new ObjectMapper().readTree(page.text());
        } catch (JsonProcessingException malformed) {
            throw SesamedeckException.of(
                    ResultCode.INTERNAL_ERROR, "the gateway's response is not JSON", malformed);
        }
    }

    private String query() {
        StringJoiner query = new StringJoiner("&");
        add(query, "host", mHost);
        add(query, "path", mPath);
        add(query, "model", mModel);
        add(query, "prompt-tokens", mPromptTokens);
        add(query, "output-tokens", mOutputTokens);
        add(query, "request-id", mRequestId);
        return query.toString();
    }

    private static void add(StringJoiner query, String name, Object value) {
        if (value != null) {
            query.add(name + '=' + URLEncoder.encode(value.toString(), StandardCharsets.UTF_8));
        }
    }

    private static void print(PrintWriter output, JsonNode explanation) {
        output.printf("%s: %s%n", text(explanation, "outcome"), text(explanation, "cause"));
        TextTable facts =
                TextTable.of("ROUTE", "ACCOUNT", "SERVICE", "PHASE", "CODE", "AHEAD", "CHOSEN");
        facts.row(
                text(explanation, "route"),
                text(explanation, "account"),
                text(explanation, "service"),
                text(explanation, "phase"),
                text(explanation, "code"),
                text(explanation.path("queue"), "ahead"),
                text(explanation, "chosen"));
        output.println(facts.render(""));
        TextTable candidates =
                TextTable.of(
                        "ENDPOINT",
                        "FAILURE DOMAIN",
                        "ROLE",
                        "WAIT MS",
                        "COST MS",
                        "RANKING MS",
                        "LOAD AGE MS",
                        "EXCLUDED");
        for (JsonNode candidate : explanation.path("candidates")) {
            candidates.row(
                    text(candidate, "endpoint"),
                    text(candidate, "failureDomain"),
                    text(candidate, "role"),
                    millis(candidate, "expectedWaitMillis"),
                    millis(candidate, "costMillis"),
                    millis(candidate, "rankingCostMillis"),
                    millis(candidate, "loadAgeMillis"),
                    text(candidate, "exclusion"));
        }
        output.print(candidates.render("no endpoints serve this request"));
        int omitted = explanation.path("candidatesOmitted").asInt();
        if (omitted > 0) {
            output.printf("%d more endpoints are not shown.%n", omitted);
        }
        output.flush();
    }

    private static String text(JsonNode node, String field) {
        return node.path(field).asText(MISSING);
    }

    private static String millis(JsonNode node, String field) {
        return node.has(field)
                ? String.format(Locale.ROOT, "%.1f", node.get(field).asDouble())
                : MISSING;
    }
}
