package org.sesamedeck.gateway;

import java.time.Instant;
import java.util.Optional;
import org.sesamedeck.request.LogEntry;

/**
 * An entry on its way to standard output.
 *
 * @param time time of day of the decision
 * @param request identifier of the request that it belongs to, if it belongs to one
 * @param entry what was decided
 */
record LogLine(Instant time, Optional<String> request, LogEntry entry) {}
