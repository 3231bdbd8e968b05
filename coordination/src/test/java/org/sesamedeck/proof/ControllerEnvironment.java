package org.sesamedeck.proof;

import java.util.Collection;
import java.util.function.LongSupplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.SimulatedProcess;

/**
 * Environment of one simulated control process.
 *
 * @param name name of the node
 * @param process its control thread
 * @param clock its clock; wall-clock time is skewed for each process
 * @param store its connection to the store
 * @param sender its connections to engines
 * @param engines the engines of the group
 * @param nextHolder returns the number of the next lease holder, in the order of acquisition
 */
record ControllerEnvironment(
        String name,
        SimulatedProcess process,
        Clock clock,
        FakeObjectStore store,
        SimulatedSender sender,
        Collection<EngineTarget> engines,
        LongSupplier nextHolder) {}
