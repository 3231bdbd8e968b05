package org.sesamedeck.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ChatRequestTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String MODEL = "\"model\":\"house-judge\"";
    private static final String MESSAGES =
            "\"messages\":[{\"role\":\"system\",\"content\":\"caf\\u00e9 \\\"x\\\"\"},"
                    + " {\"role\": \"user\", \"content\": [1, 2.5, null, {\"a\": []}]}]";

    private static ChatRequest parse(String fields) {
        return ChatRequest.parse(("{" + fields + "}").getBytes(StandardCharsets.UTF_8), 1_000);
    }

    private static JsonNode tree(byte[] json) throws Exception {
        return MAPPER.readTree(json);
    }

    /** Guards against fields that are lost or changed on the way to the engine. */
    @Test
    void engineGetsAllFieldsAndStreaming() throws Exception {
        String fields =
                MODEL + ",\"stream\":false," + MESSAGES + ",\"tools\":[{},{}],\"x\":{\"y\":[0.5]}";
        ChatRequest request = parse(fields);
        JsonNode expected = tree(("{" + fields.replace("false", "true") + "}").getBytes("UTF-8"));
        assertThat(tree(request.engineBody()), is(expected));
        assertThat(request.isStream(), is(false));
        assertThat(request.toolCount(), is(2));
        assertThat(request.messageHashes().length, is(2));
        assertThat(
                request.messageBytes(),
                is((long) expected.get("messages").toString().getBytes("UTF-8").length));
    }

    /** Guards against a message that is not recognized in another request or at another place. */
    @Test
    void hashOfMessageDependsOnItsContentOnly() {
        String first = "{\"role\":\"user\",\"content\":\"one\"}";
        String second = "{\"role\":\"user\",\"content\":\"two\"}";
        ChatRequest request = parse("\"messages\":[ " + first + " , " + second + "]," + MODEL);
        ChatRequest other = parse(MODEL + ",\"messages\":[" + second + "]");
        assertThat(other.messageHashes()[0], is(request.messageHashes()[1]));
        assertThat(other.messageHashes()[0], not(is(request.messageHashes()[0])));
    }

    /** Guards against an engine that uses another value than the one the entry decided by. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"model\":\"other\"",
                "\"messages\":[]",
                "\"stream\":true",
                "\"max_tokens\":7,\"max_tokens\":8",
                "\"n\":1,\"n\":2"
            })
    void repeatedFieldIsRefused(String fields) {
        String body = MODEL + ",\"stream\":false," + MESSAGES + "," + fields;
        CallerException refusal = assertThrows(CallerException.class, () -> parse(body));
        assertThat(refusal.getMessage(), containsString("appears more than once"));
    }

    /** Guards against a continuation that an engine cannot parse. */
    @Test
    void continuationHasTheDeliveredText() throws Exception {
        ChatRequest request = parse(MODEL + "," + MESSAGES);
        String text = "a \"quoted\" line\n\u00e9";
        JsonNode body = tree(request.continuationBody(text));
        assertThat(body.get("continue_from").textValue(), is(text));
        assertThat(body.get("model").textValue(), is("house-judge"));
        assertThat(body.size(), is(4));
    }

    /** Guards against limits that only some of the values are compared with. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "1001", "1.0", "\"5\"", "99999999999999999999", "[]"})
    void invalidNumberIsRefused(String value) {
        String body = MODEL + "," + MESSAGES + ",\"max_completion_tokens\":" + value;
        CallerException refusal = assertThrows(CallerException.class, () -> parse(body));
        assertThat(refusal.getMessage(), containsString("max_completion_tokens"));
    }
}
