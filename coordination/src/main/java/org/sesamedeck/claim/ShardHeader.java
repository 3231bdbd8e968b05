package org.sesamedeck.claim;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Header of a stored shard, the first line of its object.
 *
 * @param owner token of the owner
 * @param epoch object version that the owner replaced when it acquired the shard; part of segment
 *     names
 * @param changes number of changes made under this owner
 * @param millis shard time: total milliseconds during which the shard had an owner
 * @param pendingSegment name of the segment that is being written, empty when there is none
 * @param segments sealed segments, oldest first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ShardHeader(
        String owner,
        long epoch,
        long changes,
        long millis,
        String pendingSegment,
        List<SegmentRange> segments) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    String format() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("shard header cannot be written", failure);
        }
    }

    static ShardHeader parse(String line) {
        try {
            return MAPPER.readValue(line, ShardHeader.class);
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.INTERNAL_ERROR,
                    "shard header cannot be read: " + failure.getOriginalMessage(),
                    failure);
        }
    }
}
