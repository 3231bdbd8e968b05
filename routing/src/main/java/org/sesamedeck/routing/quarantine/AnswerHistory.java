package org.sesamedeck.routing.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** When this process saw the parts of prompts answered last; the longest unused are forgotten. */
final class AnswerHistory {
    /** Several times the parts that a process sees in a minute of the busiest deployments. */
    private static final int MAX_PARTS = 2_048;

    private final Map<PartKey, Long> mAnsweredAt =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<PartKey, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    void record(PartKey part, long atNanos) {
        mAnsweredAt.merge(part, atNanos, (known, next) -> next - known > 0 ? next : known);
    }

    /** Returns when the part was answered last, in nanoseconds of monotonic time. */
    OptionalLong answeredAt(PartKey part) {
        Long at = mAnsweredAt.get(part);
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }
}
