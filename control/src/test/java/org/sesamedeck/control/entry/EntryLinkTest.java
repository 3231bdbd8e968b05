package org.sesamedeck.control.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sesamedeck.control.engine.EndpointTableBuilder;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.HostListDocument;
import org.sesamedeck.node.Member;
import org.sesamedeck.node.PeerTransport;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.generated.Endpoint;
import org.sesamedeck.wire.generated.EntryHello;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StateUpdate;

class EntryLinkTest {
    private static final HostAddress ADDRESS = HostAddress.of("127.0.0.1", 1);

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final CoordinationNode mNode = createNode(mScheduler);
    private final RecordingConnection mConnection = new RecordingConnection();
    private final EntryLink mLink =
            EntryLink.create(
                    mScheduler.clock(), mNode, EndpointTableBuilder.create(mNode)::table, "0.1.0");

    private static CoordinationNode createNode(ManualScheduler scheduler) {
        return CoordinationNode.create(
                scheduler.clock(),
                new Random(1),
                scheduler,
                new UnreachablePeers(),
                FakeObjectStore.create(scheduler, scheduler.clock()),
                CompletableFuture::new,
                Member.of("node-1", ADDRESS, "tunis-a", "tunis"),
                List.of());
    }

    private void publishHosts(long version, HostEntry... hosts) {
        mNode.dissemination().publish(new HostListDocument(List.of(hosts)).toDocument(version));
        mLink.push();
    }

    private static HostEntry service() {
        return new HostEntry(
                "service-1", ADDRESS, HostKind.SERVICE, "notes", "tunis-a", "tunis", false);
    }

    private static List<String> endpoints(StateUpdate update) {
        return update.getEndpoints().getEndpointsList().stream().map(Endpoint::getName).toList();
    }

    /**
     * Guards against a restarted control process that clears the endpoints of its entry process
     * before it knows the host list: requests that the entry process had let in then waited for an
     * endpoint until their deadline.
     */
    @Test
    void endpointsAreLeftOutUntilTheHostListIsKnown() {
        mLink.onHello(mConnection, EntryHello.getDefaultInstance());

        StateUpdate initial = mConnection.last();
        assertThat(initial.getAdmitting(), is(false));
        assertThat("the initial update has endpoints", initial.hasEndpoints(), is(false));

        publishHosts(1, service());
        assertThat(endpoints(mConnection.last()), is(List.of("service-1")));
    }

    /** Guards against an entry process that keeps using endpoints of an earlier host list. */
    @Test
    void emptyHostListIsSentWhenItIsKnown() {
        mLink.onHello(mConnection, EntryHello.getDefaultInstance());
        publishHosts(1);

        assertThat(mConnection.last().hasEndpoints(), is(true));
        assertThat(endpoints(mConnection.last()), is(List.of()));
    }

    private static final class UnreachablePeers implements PeerTransport {
        @Override
        public void send(HostAddress peer, Envelope message) {}

        @Override
        public CompletableFuture<Envelope> call(
                HostAddress peer, Envelope message, Duration timeout) {
            return new CompletableFuture<>();
        }
    }

    /** Open connection to an entry process that records what is sent. */
    private static final class RecordingConnection implements MessageConnection {
        private final List<StateUpdate> mUpdates = new ArrayList<>();

        StateUpdate last() {
            return mUpdates.get(mUpdates.size() - 1);
        }

        @Override
        public void send(Envelope message) {
            mUpdates.add(message.getStateUpdate());
        }

        @Override
        public CompletableFuture<Envelope> call(Envelope message, Duration timeout) {
            return new CompletableFuture<>();
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public CompletableFuture<Void> closed() {
            return new CompletableFuture<>();
        }

        @Override
        public void close() {}
    }
}
