package org.sesamedeck.control.engine;

import java.util.Optional;
import org.sesamedeck.routing.LoadReport;

/**
 * What an engine answered when it was polled.
 *
 * @param state its state
 * @param load its load, if it answered that too
 */
public record EngineReport(EngineState state, Optional<LoadReport> load) {}
