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
 * @param process control thread of the process
 * @param clock clock of the process; the skew of its wall-clock time differs between processes
 * @param store client of the store
 * @param sender sender of commands to the engines
 * @param engines the engines of the group
 * @param nextHolderNumber returns the number of the next lease holder, in the order of acquisition
 */
record ControllerEnvironment(
        String name,
        SimulatedProcess process,
        Clock clock,
        FakeObjectStore store,
        SimulatedSender sender,
        Collection<EngineTarget> engines,
        LongSupplier nextHolderNumber) {}
