package org.sesamedeck.node;

import java.time.Duration;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.Probe;

/** A naive node that trusts the first peer that replies after a start, and admits from then on. */
final class NaiveStartingNode {
    private final SimulatedNode mNode;
    private long mVersion = -1;

    private NaiveStartingNode(SimulatedNode node) {
        mNode = node;
    }

    static NaiveStartingNode start(Simulation simulation, SimulatedNode node) {
        NaiveStartingNode starting = new NaiveStartingNode(node);
        Envelope request =
                Envelopes.builder()
                        .setProbe(
                                Probe.newBuilder()
                                        .setSender(node.node().membership().self().toMessage()))
                        .build();
        for (SimulatedNode other : simulation.nodes()) {
            HostAddress address = other.address();
            if (other != node) {
                simulation
                        .transportOf(node)
                        .call(address, request, Duration.ofMillis(500))
                        .thenAccept(starting::onReply);
            }
        }
        return starting;
    }

    private void onReply(Envelope reply) {
        if (mVersion < 0 && reply.getProbeReply().hasConfirmation()) {
            mVersion = reply.getProbeReply().getConfirmation().getVersion();
        }
    }

    long version() {
        return Math.max(mVersion, mNode.version());
    }

    boolean isAdmitting() {
        return mNode.isRunning() && mVersion >= 0;
    }
}
