package org.sesamedeck.claim;

import java.util.List;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Text format of a sealed segment: the shard time of sealing, then one line per claim. */
final class SealedSegment {
    private SealedSegment() {}

    static String format(long sealedMillis, List<ClaimEntry> entries) {
        StringBuilder value = new StringBuilder().append(sealedMillis).append('\n');
        entries.forEach(entry -> value.append(entry.format()).append('\n'));
        return value.toString();
    }

    static long sealedMillis(String value) {
        try {
            return Long.parseLong(value.lines().findFirst().orElse(""));
        } catch (NumberFormatException failure) {
            throw SesamedeckException.of(
                    ResultCode.INTERNAL_ERROR, "segment cannot be read: " + failure, failure);
        }
    }

    static List<ClaimEntry> entries(String value) {
        return value.lines().skip(1).map(ClaimEntry::parse).toList();
    }
}
