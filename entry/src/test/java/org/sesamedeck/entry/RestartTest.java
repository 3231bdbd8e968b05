package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An entry that is started after a key was withdrawn or an endpoint has left. */
class RestartTest {
    @TempDir Path mDirectory;

    private final FakeEngine mLeavingEngine = new FakeEngine();
    private final FakeEngine mEngine = new FakeEngine();
    private final FakeControl mControl =
            new FakeControl().withEngine("engine-1", mLeavingEngine.port());

    @AfterEach
    void stop() {
        mLeavingEngine.close();
        mEngine.close();
        mControl.close();
    }

    /** Guards against a withdrawn key that is accepted again after a restart. */
    @Test
    void withdrawnKeyIsNotAcceptedAfterARestart() throws Exception {
        EntryFixture before = EntryFixture.start(mDirectory, mControl);
        assertThat(before.chat(EntryFixture.chatBody(false)).statusCode(), is(200));
        mControl.withdrawKey(FakeControl.API_KEY);
        EntryFixture after = EntryFixture.start(mDirectory, mControl);
        assertThat(after.chat(EntryFixture.chatBody(false)).statusCode(), is(401));
    }

    /** Guards against an endpoint that left and is used again after a restart. */
    @Test
    void endpointThatLeftIsNotUsedAfterARestart() throws Exception {
        EntryFixture before = EntryFixture.start(mDirectory, mControl);
        assertThat(before.chat(EntryFixture.chatBody(false)).statusCode(), is(200));
        mControl.withoutEndpoints().withEngine("engine-2", mEngine.port());
        EntryFixture after = EntryFixture.start(mDirectory, mControl);
        int requestsBefore = mLeavingEngine.startedRequestCount();
        for (int i = 0; i < 10; i++) {
            assertThat(after.chat(EntryFixture.chatBody(false)).statusCode(), is(200));
        }
        assertThat(mLeavingEngine.startedRequestCount(), is(requestsBefore));
    }
}
