package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sesamedeck.gateway.duty.DutyMessageCodec;
import org.sesamedeck.routing.LoadMessage;
import org.sesamedeck.routing.LoadScope;

class SharedChangesCodecTest {
    private static final SharedChanges CHANGES =
            new SharedChanges("node", "things", 7, 9, new byte[] {1, 2, 3});

    /** Guards against fields that are lost on their way through the codec. */
    @Test
    void decodedChangesEqualTheEncodedOnes() {
        SharedChanges decoded =
                SharedChangesCodec.decode(SharedChangesCodec.encode(CHANGES)).orElseThrow();
        assertThat(decoded.sender(), is("node"));
        assertThat(decoded.kind(), is("things"));
        assertThat(decoded.baseRevision(), is(7L));
        assertThat(decoded.revision(), is(9L));
        assertThat(decoded.source(), is(new byte[] {1, 2, 3}));
    }

    /** Guards against datagrams that are taken for those of another kind. */
    @Test
    void datagramsOfOtherKindsAreToldApart() {
        byte[] load =
                LoadMessageCodec.encode(
                        new LoadMessage("node", 1, 1, LoadScope.PROCESS, List.of(), List.of()));
        assertThat(SharedChangesCodec.decode(load), is(Optional.empty()));
        byte[] bytes = SharedChangesCodec.encode(CHANGES);
        assertThat(DutyMessageCodec.isDutyMessage(bytes), is(false));
        assertThat(LoadMessageCodec.decode(bytes), is(Optional.empty()));
    }

    /** Guards against bytes of unrelated senders, which may arrive at any port. */
    @Test
    void damagedDatagramIsIgnored() {
        assertThat(SharedChangesCodec.decode(new byte[] {1, -1, -1}), is(Optional.empty()));
    }

    /** Guards against changes that continue nothing or hide later ones. */
    @Test
    void changesWithImpossibleRevisionsAreIgnored() {
        assertThat(decoded(-1, 9), is(Optional.empty()));
        assertThat(decoded(9, 9), is(Optional.empty()));
        assertThat(decoded(9, 8), is(Optional.empty()));
        assertThat(decoded(9, Long.MIN_VALUE), is(Optional.empty()));
        assertThat(decoded(0, 1).isPresent(), is(true));
    }

    private static Optional<SharedChanges> decoded(long baseRevision, long revision) {
        return SharedChangesCodec.decode(
                SharedChangesCodec.encode(
                        new SharedChanges("node", "things", baseRevision, revision, new byte[1])));
    }
}
