package org.sesamedeck.proof;

/** Creates the controller of a simulated process. */
interface ControllerFactory {
    SimulatedController create(ControllerEnvironment environment);
}
