package org.sesamedeck.control.engine;

import java.util.concurrent.CompletableFuture;
import org.sesamedeck.platform.HostEntry;

/** Polls the state and load of engines. */
@FunctionalInterface
public interface EngineClient {
    /**
     * Polls an engine.
     *
     * @return fails with UNAVAILABLE when the engine does not respond; completes on any thread
     */
    CompletableFuture<EnginePollResult> poll(HostEntry engine);
}
