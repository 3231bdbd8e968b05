package org.sesamedeck.experiment;

/**
 * A crash of an engine.
 *
 * @param engine index of the engine
 * @param crashSeconds time of the crash, in seconds from the start
 * @param recoverySeconds time at which it serves again, in seconds from the start
 */
record EngineCrash(int engine, double crashSeconds, double recoverySeconds) {}
