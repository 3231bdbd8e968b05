package org.sesamedeck.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.zip.Deflater;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.generated.Digest;
import org.sesamedeck.wire.generated.DigestEntry;

class DocumentDisseminationTest {
    private static final String KEY = "engine-group/0";

    private static Simulation started(long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.start(8);
        simulation.run(Duration.ofSeconds(5));
        return simulation;
    }

    /** Guards against a lower version from a lagging source replacing a higher one. */
    @Test
    void lowerVersionNeverReplacesAHigherOne() {
        Simulation simulation = started(1);
        DocumentDissemination dissemination = simulation.node(0).node().dissemination();
        assertThat(dissemination.publish(VersionedDocument.of(KEY, 7, "new")), is(true));
        simulation.run(Duration.ofSeconds(3));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(
                    node.node().dissemination().publish(VersionedDocument.of(KEY, 6, "old")),
                    is(false));
            assertThat(node.node().dissemination().get(KEY).orElseThrow().content(), is("new"));
        }
    }

    /** Guards against content that reaches only those nodes that received the announcement. */
    @Test
    void digestExchangeRepairsLostAnnouncements() {
        Simulation simulation = started(2);
        simulation.setLoss(1);
        simulation.node(0).node().dissemination().publish(VersionedDocument.of(KEY, 7, "new"));
        simulation.run(Duration.ofSeconds(1));
        simulation.setLoss(0);
        simulation.run(Duration.ofSeconds(8));
        for (SimulatedNode node : simulation.nodes()) {
            assertThat(node.name(), node.node().dissemination().versionOf(KEY), is(7L));
        }
    }

    /** Guards against a pull that stays pending when the announcing peer lacks the content. */
    @Test
    void failedPullDoesNotBlockLaterPulls() {
        Simulation simulation = started(3);
        SimulatedNode node = simulation.node(0);
        node.node()
                .dissemination()
                .onDigest(
                        Digest.newBuilder()
                                .setSender(Simulation.nameOf(1))
                                .addEntries(DigestEntry.newBuilder().setKey(KEY).setVersion(9))
                                .build());
        simulation.run(Duration.ofSeconds(2));
        simulation.node(2).node().dissemination().publish(VersionedDocument.of(KEY, 9, "content"));
        simulation.run(Duration.ofSeconds(4));
        assertThat(node.node().dissemination().get(KEY).orElseThrow().content(), is("content"));
    }

    /** Guards against a small compressed message that exhausts memory when inflated. */
    @Test
    void contentThatInflatesBeyondTheLimitIsRefused() {
        Deflater deflater = new Deflater();
        deflater.setInput(new byte[8 * VersionedDocument.MAX_CONTENT_BYTES]);
        deflater.finish();
        byte[] buffer = new byte[64 * 1024];
        int length = deflater.deflate(buffer);
        deflater.end();
        VersionedDocument document =
                new VersionedDocument(KEY, 1, java.util.Arrays.copyOf(buffer, length));
        SesamedeckException failure = assertThrows(SesamedeckException.class, document::content);
        assertThat(failure.code(), is(ResultCode.VALUE_TOO_LARGE));
    }
}
