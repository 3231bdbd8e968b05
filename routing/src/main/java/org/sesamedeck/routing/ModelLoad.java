package org.sesamedeck.routing;

/**
 * A model or adapter to load into an engine.
 *
 * @param engine engine to load into
 * @param model name of the model or adapter
 * @param isAdapter whether it is an adapter
 */
public record ModelLoad(String engine, String model, boolean isAdapter) {}
