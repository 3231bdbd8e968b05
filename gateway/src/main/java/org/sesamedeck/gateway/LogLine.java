package org.sesamedeck.gateway;

import java.time.Instant;
import java.util.Optional;
import org.sesamedeck.request.LogEntry;

/**
 * A log entry to be written to standard output.
 *
 * @param time wall-clock time of the decision
 * @param request identifier of the request to which it belongs, if any
 * @param entry the decision
 */
record LogLine(Instant time, Optional<String> request, LogEntry entry) {}
