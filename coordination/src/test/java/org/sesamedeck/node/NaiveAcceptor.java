package org.sesamedeck.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;

/** A naive acceptor that writes a candidate as the accepted version without acknowledgements. */
final class NaiveAcceptor {
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final SimulatedNode mNode;
    private final ObjectStore mStore;

    private NaiveAcceptor(SimulatedNode node, ObjectStore store) {
        mNode = node;
        mStore = store;
    }

    static void start(Simulation simulation, SimulatedNode node) {
        new NaiveAcceptor(node, simulation.platform().storeFor(node)).poll();
    }

    private void poll() {
        mStore.get(ConfigurationAcceptor.CANDIDATE_LISTS)
                .thenCombine(mStore.get(PlatformRelay.ACCEPTED), this::accept)
                .whenComplete((done, failure) -> mNode.schedule(INTERVAL, this::poll));
    }

    private Void accept(Optional<StoredObject> candidate, Optional<StoredObject> stored) {
        AcceptedConfiguration accepted =
                stored.map(object -> AcceptedConfiguration.parse(object.value()))
                        .orElse(AcceptedConfiguration.none());
        candidate
                .filter(object -> object.version() > accepted.candidateVersion())
                .ifPresent(
                        object -> {
                            CandidateLists lists = CandidateLists.parse(object.value());
                            String value =
                                    new AcceptedConfiguration(
                                                    accepted.version() + 1,
                                                    lists.plans(),
                                                    lists.entitlements(),
                                                    object.version(),
                                                    "",
                                                    accepted.nodes(),
                                                    List.of())
                                            .toJson();
                            long version = stored.map(StoredObject::version).orElse(0L);
                            mStore.update(PlatformRelay.ACCEPTED, version, value);
                        });
        return null;
    }
}
