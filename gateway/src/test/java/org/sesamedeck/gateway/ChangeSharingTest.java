package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ChangeSharingTest {
    private static final List<String> RECIPIENTS = List.of("a", "b", "c", "d");

    private final List<List<String>> mSent = new ArrayList<>();
    private final ChangeSharing mSharing =
            new ChangeSharing(
                    "own",
                    sender -> RECIPIENTS,
                    new Random(1),
                    (bytes, recipients) -> mSent.add(List.copyOf(recipients)));

    /**
     * Guards against a slow link that drops the last datagrams of each burst, so that the same
     * processes have to read every change from the store.
     */
    @Test
    void eachRecipientIsSometimesTheLast() {
        for (int revision = 1; revision <= 100; revision++) {
            mSharing.share("things", revision - 1, revision, new byte[] {1});
        }
        assertThat(mSent, hasSize(100));
        Set<String> last = new HashSet<>();
        for (List<String> recipients : mSent) {
            assertThat(Set.copyOf(recipients), is(Set.copyOf(RECIPIENTS)));
            assertThat(recipients, hasSize(RECIPIENTS.size()));
            last.add(recipients.get(recipients.size() - 1));
        }
        assertThat(last, is(Set.copyOf(RECIPIENTS)));
    }
}
