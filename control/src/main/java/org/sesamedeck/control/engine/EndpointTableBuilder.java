package org.sesamedeck.control.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.HostListDocument;
import org.sesamedeck.node.VersionedDocument;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.wire.generated.Endpoint;
import org.sesamedeck.wire.generated.EndpointTable;

/**
 * Builds the endpoint table from the host list and the engine group documents. An endpoint is
 * leaving when either source says so; an engine that no group document contains yet counts as mixed
 * and without models.
 */
public final class EndpointTableBuilder {
    private static final System.Logger LOGGER =
            System.getLogger(EndpointTableBuilder.class.getName());

    private final CoordinationNode mNode;
    private final Map<String, EngineGroupDocument> mGroups = new HashMap<>();
    private Optional<EndpointTable> mTable = Optional.empty();
    private boolean mHasHostList;
    private boolean mIsOutdated;

    private EndpointTableBuilder(CoordinationNode node) {
        mNode = node;
        node.dissemination().addListener(this::onDocument);
    }

    /** Returns a builder that listens for the documents of a node. */
    public static EndpointTableBuilder create(CoordinationNode node) {
        return new EndpointTableBuilder(node);
    }

    private void onDocument(VersionedDocument document) {
        if (document.key().equals(HostListDocument.DOCUMENT_KEY)) {
            mHasHostList = true;
            mIsOutdated = true;
        } else if (document.key().startsWith(EngineGroupDocument.KIND + "/")) {
            try {
                mGroups.put(document.key(), EngineGroupDocument.parse(document));
                mIsOutdated = true;
            } catch (SesamedeckException malformed) {
                LOGGER.log(
                        System.Logger.Level.ERROR,
                        "ignoring a malformed engine group document",
                        malformed);
            }
        }
    }

    /**
     * Returns the table, ordered by endpoint name; empty until the first host list is known. The
     * instance stays the same until a document changes.
     */
    public Optional<EndpointTable> table() {
        if (mHasHostList && mIsOutdated) {
            mIsOutdated = false;
            mTable = Optional.of(build());
        }
        return mTable;
    }

    private EndpointTable build() {
        Map<String, EngineState> states = new HashMap<>();
        for (EngineGroupDocument group : mGroups.values()) {
            group.engines().forEach(engine -> states.put(engine.name(), engine));
        }
        EndpointTable.Builder table = EndpointTable.newBuilder();
        for (HostEntry host : mNode.hosts().hosts()) {
            if (host.kind() != HostKind.NODE) {
                table.addEndpoints(endpoint(host, states.get(host.name())));
            }
        }
        return table.build();
    }

    private static Endpoint endpoint(HostEntry host, EngineState state) {
        Endpoint.Builder endpoint =
                Endpoint.newBuilder()
                        .setName(host.name())
                        .setAddress(host.address().address())
                        .setPort(host.address().port())
                        .setService(host.service())
                        .setFailureDomain(host.failureDomain())
                        .setRegion(host.region())
                        .setIsEngine(host.kind() == HostKind.ENGINE)
                        .setIsLeaving(host.isLeaving());
        if (host.kind() == HostKind.ENGINE) {
            endpoint.setRole("MIXED");
        }
        if (state != null) {
            endpoint.setRole(state.role().name())
                    .addAllModels(state.models())
                    .setIsLeaving(host.isLeaving() || state.isDraining())
                    .setIsChanging(state.isChanging());
        }
        return endpoint.build();
    }
}
