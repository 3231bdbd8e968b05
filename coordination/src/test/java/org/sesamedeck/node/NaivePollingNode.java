package org.sesamedeck.node;

import java.time.Duration;
import org.sesamedeck.platform.ObjectStore;

/** A naive node that polls the store, applies whatever it read last and always admits. */
final class NaivePollingNode {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final SimulatedNode mNode;
    private final ObjectStore mStore;
    private long mVersion;
    private boolean mHasReverted;

    private NaivePollingNode(SimulatedNode node, ObjectStore store) {
        mNode = node;
        mStore = store;
    }

    static NaivePollingNode start(Simulation simulation, SimulatedNode node) {
        NaivePollingNode polling = new NaivePollingNode(node, simulation.platform().storeFor(node));
        polling.poll();
        return polling;
    }

    private void poll() {
        mStore.get(PlatformRelay.ACCEPTED)
                .thenAccept(
                        object -> {
                            long version =
                                    object.map(o -> AcceptedConfiguration.parse(o.value()))
                                            .map(AcceptedConfiguration::version)
                                            .orElse(0L);
                            mHasReverted |= version < mVersion;
                            mVersion = version;
                        });
        mNode.schedule(INTERVAL, this::poll);
    }

    long version() {
        return mVersion;
    }

    boolean isAdmitting() {
        return mNode.isRunning();
    }

    boolean hasReverted() {
        return mHasReverted;
    }
}
