package org.sesamedeck.routing;

import java.util.Optional;

/**
 * A model or adapter and the demand for it.
 *
 * @param name name of the model or adapter
 * @param baseModel base model of an adapter; empty for a model
 * @param bytes size in the weight store and in engine memory, in bytes
 * @param demandEngines demand, in engines
 */
public record ModelSnapshot(
        String name, Optional<String> baseModel, long bytes, double demandEngines) {}
