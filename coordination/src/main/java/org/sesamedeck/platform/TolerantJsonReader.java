package org.sesamedeck.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;

/**
 * Reads JSON texts that contain values of several writers. A text that the parser refuses as a
 * whole is split into its values, and each is parsed by itself: one that cannot be read becomes
 * {@code null}, and the others are kept. No text is rewritten, and every step consumes bytes, so
 * that the work is proportional to the length of the text.
 */
public final class TolerantJsonReader {
    /** A response, its array, an element, an object in it; deeper values have one writer. */
    private static final int MAX_SPLIT_DEPTH = 4;

    private static final NullNode UNREADABLE = NullNode.getInstance();

    private final ObjectReader mReader;
    private final Set<String> mContainers;
    private final Set<String> mTrustedMembers;

    private TolerantJsonReader(
            ObjectReader reader, Set<String> containers, Set<String> trustedMembers) {
        mReader = reader;
        mContainers = containers;
        mTrustedMembers = trustedMembers;
    }

    /** Returns a reader of an array of rows; a row that cannot be read is {@code null}. */
    public static TolerantJsonReader ofRows(ObjectMapper mapper) {
        return ofObjects(mapper, Set.of(), Set.of());
    }

    /**
     * Returns a reader of objects that contain objects of other writers.
     *
     * @param containers names of the members whose value has several writers, which is split
     * @param trustedMembers names of the members that are kept of an object that is split; the
     *     others may end elsewhere than their writer meant
     */
    public static TolerantJsonReader ofObjects(
            ObjectMapper mapper, Set<String> containers, Set<String> trustedMembers) {
        return new TolerantJsonReader(
                mapper.reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS),
                Set.copyOf(containers),
                Set.copyOf(trustedMembers));
    }

    /**
     * Returns the content of a text.
     *
     * @throws IOException if the text is neither an object nor an array
     */
    public JsonNode read(byte[] text) throws IOException {
        try {
            return mReader.readTree(text);
        } catch (IOException refused) {
            JsonTextScanner scanner = new JsonTextScanner(text);
            int start = scanner.skipSpace(0, text.length);
            JsonNode split = split(scanner, start, scanner.trimEnd(start, text.length), 0);
            if (split.isNull()) {
                throw refused;
            }
            return split;
        }
    }

    /** Returns the value in the range, or its readable parts. */
    private JsonNode readOrSplit(JsonTextScanner scanner, int from, int to, int depth) {
        return parse(scanner, from, to).orElseGet(() -> split(scanner, from, to, depth));
    }

    private Optional<JsonNode> parse(JsonTextScanner scanner, int from, int to) {
        try {
            JsonNode node = mReader.readTree(scanner.text(), from, to - from);
            return Optional.ofNullable(node).filter(found -> !found.isMissingNode());
        } catch (IOException refused) {
            return Optional.empty();
        }
    }

    private JsonNode split(JsonTextScanner scanner, int from, int to, int depth) {
        if (depth >= MAX_SPLIT_DEPTH || from >= to) {
            return UNREADABLE;
        }
        return switch (scanner.at(from)) {
            case '{' -> splitObject(scanner, from, to, depth);
            case '[' -> splitArray(scanner, from, to, depth);
            default -> UNREADABLE;
        };
    }

    /** Returns the containers and trusted members before the first one whose end is unknown. */
    private ObjectNode splitObject(JsonTextScanner scanner, int from, int to, int depth) {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        int position = scanner.skipSpace(from + 1, to);
        while (position < to && scanner.at(position) == '"') {
            int nameEnd = scanner.endOfValue(position, to);
            int colon = nameEnd < 0 ? to : scanner.skipSpace(nameEnd, to);
            if (colon >= to || scanner.at(colon) != ':') {
                return object;
            }
            String name = parse(scanner, position, nameEnd).map(JsonNode::asText).orElse("");
            int start = scanner.skipSpace(colon + 1, to);
            boolean isContainer = mContainers.contains(name);
            int end =
                    isContainer ? scanner.endOfContainer(start, to) : scanner.endOfValue(start, to);
            if (end < 0) {
                return object;
            }
            if (isContainer) {
                object.set(name, readOrSplit(scanner, start, end, depth + 1));
            } else if (mTrustedMembers.contains(name)) {
                object.set(name, parse(scanner, start, end).orElse(UNREADABLE));
            }
            int next = scanner.skipSpace(end, to);
            if (next >= to || scanner.at(next) != ',') {
                return object;
            }
            position = scanner.skipSpace(next + 1, to);
        }
        return object;
    }

    /**
     * Returns the elements of an array of objects. A value that leaves a string or bracket open
     * hides where its element ends. The next element is therefore recognized by its first name,
     * which is that of the first element, since all are written by the store.
     */
    private JsonNode splitArray(JsonTextScanner scanner, int from, int to, int depth) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        NavigableSet<Integer> starts = scanner.startsOfElements(from, to);
        if (starts.isEmpty()) {
            return UNREADABLE;
        }
        int end = scanner.endOfElements(from, to);
        int position = starts.first();
        while (position < end) {
            Integer following = starts.higher(position);
            int next = following == null ? end : scanner.commaBefore(following);
            int readable = endOfReadableElement(scanner, position, next, end);
            if (readable > 0) {
                array.add(parse(scanner, position, readable).orElse(UNREADABLE));
                next = scanner.skipSpace(readable, end);
            } else {
                array.add(splitElement(scanner, position, next, depth + 1));
            }
            position = scanner.skipSpace(next + 1, end);
        }
        return array;
    }

    /**
     * Returns the end of the element at the position if it can be read; else -1. It usually ends
     * where the next one is recognized, and later if one of its own values looks like an element. A
     * row ends sooner if the next one is no object.
     */
    private int endOfReadableElement(JsonTextScanner scanner, int start, int next, int end) {
        if (parse(scanner, start, next).isPresent()) {
            return next;
        }
        int sooner = scanner.endOfValue(start, next);
        int other = sooner < 0 ? scanner.endOfLongValue(start, end) : sooner;
        boolean isPossible = sooner < 0 || mContainers.isEmpty();
        return isPossible && other > 0 && isReadableElement(scanner, start, other, end)
                ? other
                : -1;
    }

    private boolean isReadableElement(JsonTextScanner scanner, int start, int elementEnd, int end) {
        int next = scanner.skipSpace(elementEnd, end);
        return (next == end || scanner.at(next) == ',')
                && parse(scanner, start, elementEnd).isPresent();
    }

    private JsonNode splitElement(JsonTextScanner scanner, int from, int to, int depth) {
        return mContainers.isEmpty() ? UNREADABLE : split(scanner, from, to, depth);
    }
}
