package org.sesamedeck.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;

class HostListDocumentTest {
    private static final int ENDPOINTS = 5_600;
    private static final int NODES = 490;
    private static final int FRAME_BYTES = 2 * 1024 * 1024;

    /** Guards against a host list of the size expected in two years not fitting into one frame. */
    @Test
    void hostListOfTheExpectedSizeFitsOneFrame() {
        List<HostEntry> hosts = new ArrayList<>();
        for (int index = 0; index < ENDPOINTS + NODES; index++) {
            boolean isNode = index >= ENDPOINTS;
            hosts.add(
                    new HostEntry(
                            "tasting-models-engine-" + index,
                            HostAddress.of("10.120.230." + index % 250, 10_000 + index),
                            isNode ? HostKind.NODE : HostKind.ENGINE,
                            isNode ? "" : "tasting-models",
                            "failure-domain-" + index % 9,
                            "region-" + index % 3,
                            false));
        }
        HostListDocument list = new HostListDocument(hosts);

        VersionedDocument document = list.toDocument(1);

        assertThat(document.compressed().length, is(lessThan(FRAME_BYTES)));
        assertThat(HostListDocument.parse(document), is(list));
    }
}
