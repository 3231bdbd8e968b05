package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CrashingMessageTest {
    private static final String CRASHING_TEXT = "ends engines";

    /** An engine needs longer to start again than the ends of one engine are told apart. */
    private static final int PAUSE_MILLIS = 800;

    @TempDir Path mDirectory;

    private final FakeEngine[] mEngines = {new FakeEngine(), new FakeEngine(), new FakeEngine()};
    private final FakeControl mControl = new FakeControl();
    private EntryFixture mEntry;

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < mEngines.length; i++) {
            mEngines[i].mCrashingText = CRASHING_TEXT;
            mControl.withEngine("engine-" + i, mEngines[i].port());
        }
        mEntry = EntryFixture.start(mDirectory, mControl);
    }

    @AfterEach
    void stop() {
        for (FakeEngine engine : mEngines) {
            engine.close();
        }
        mControl.close();
    }

    private HttpResponse<String> chat(String text) throws Exception {
        return mEntry.chat(EntryFixture.chatBody(false).replace("taste this", text));
    }

    private int crashes() {
        int crashes = 0;
        for (FakeEngine engine : mEngines) {
            crashes +=
                    (int)
                            engine.server().requests("POST", "/v1/chat/completions").stream()
                                    .filter(request -> request.text().contains(CRASHING_TEXT))
                                    .count();
        }
        return crashes;
    }

    /** Guards against engines that end one after the other under one message. */
    @Test
    void messageUnderWhichEnginesEndedIsRefused() throws Exception {
        for (int i = 0; i < 5; i++) {
            chat(CRASHING_TEXT);
            Thread.sleep(PAUSE_MILLIS);
            assertThat(chat("sound").statusCode(), is(200));
        }
        int before = crashes();
        HttpResponse<String> last = chat(CRASHING_TEXT);
        for (int i = 0; i < 10; i++) {
            last = chat(CRASHING_TEXT);
        }
        assertThat(crashes() - before, lessThanOrEqualTo(3));
        assertThat(last.statusCode(), is(503));
        assertThat(last.body(), containsString("PART_QUARANTINED"));
        assertThat(last.headers().firstValue("Retry-After").isPresent(), is(true));
        assertThat(chat("sound").statusCode(), is(200));
    }
}
