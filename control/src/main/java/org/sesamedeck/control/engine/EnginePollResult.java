package org.sesamedeck.control.engine;

import java.util.Optional;
import org.sesamedeck.routing.LoadReport;

/**
 * Result of polling an engine.
 *
 * @param state state of the engine
 * @param load load of the engine; empty when only the state could be read
 */
public record EnginePollResult(EngineState state, Optional<LoadReport> load) {}
