package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.sesamedeck.routing.RequestPhase;

/** Checks the delivery guarantees with random behaviour of endpoints and callers. */
class RequestScheduleTest {
    private static final int SCHEDULES = 4_000;
    private static final int EVENTS = 6;
    private static final Pattern IDENTIFIER = Pattern.compile("id: (\\d+)\n");

    /**
     * Guards against a second run, a "not run" for a request that ran, and lost, duplicate or
     * partial events.
     */
    @Test
    void deliveryGuaranteesHoldInRandomSchedules() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            new Schedule(seed).run();
        }
    }

    /** One request whose endpoints behave at random. */
    private static final class Schedule {
        private final SplittableRandom mRandom;
        private final String mSeed;
        private final RequestFixture mFixture;
        private final RecordingPort mPort = new RecordingPort();
        private final RequestKind mKind;
        private final Set<RecordingPort.SentCall> mRan = new HashSet<>();
        private final Set<RecordingPort.SentCall> mFinished = new HashSet<>();

        /** For each call: 0 before the response head, then 1 plus the number of events sent. */
        private final List<Integer> mProgress = new ArrayList<>();

        private boolean mHasCallerLeft;

        Schedule(int seed) {
            mRandom = new SplittableRandom(seed);
            mSeed = "seed " + seed;
            mFixture = new RequestFixture(mRandom.nextBoolean()).configure();
            mKind = RequestKind.values()[mRandom.nextInt(RequestKind.values().length)];
        }

        void run() {
            RequestLifecycle lifecycle = mFixture.start(mKind, mPort);
            for (int step = 0; step < 200 && !lifecycle.isOver(); step++) {
                if (mRandom.nextInt(60) == 0) {
                    mHasCallerLeft = true;
                    lifecycle.callerLeft();
                } else {
                    step(lifecycle);
                }
                mFixture.timers().advance(Duration.ofMillis(mRandom.nextInt(120)));
            }
            assertThat(mSeed, lifecycle.isOver(), is(true));
            check();
        }

        private void step(RequestLifecycle lifecycle) {
            RecordingPort.SentCall call = mPort.lastCall();
            while (mProgress.size() < mPort.calls().size()) {
                mProgress.add(0);
            }
            if (mFinished.contains(call) || call.isCancelled()) {
                return;
            }
            int progress = mProgress.get(mProgress.size() - 1);
            if (progress == 0) {
                begin(call);
            } else if (call.options().phase() == RequestPhase.PREFILL) {
                call.listener().body(RequestFixture.bytes("handle"));
                finish(call);
            } else {
                continueStream(call, progress);
            }
        }

        private void begin(RecordingPort.SentCall call) {
            boolean isPrefill = call.options().phase() == RequestPhase.PREFILL;
            switch (mRandom.nextInt(8)) {
                case 0 -> {
                    mFinished.add(call);
                    call.listener().notSent("refused");
                }
                case 1 -> {
                    call.listener().headReceived(RequestFixture.notRun());
                    finish(call);
                }
                case 2 -> {
                    if (!isPrefill && mRandom.nextBoolean()) {
                        mRan.add(call);
                    }
                    mFinished.add(call);
                    call.listener().broken("lost");
                }
                case 3 -> {
                    if (!isPrefill) {
                        mRan.add(call);
                    }
                    int[] failures = {500, 502, 503, 400, 504};
                    int status = failures[mRandom.nextInt(failures.length)];
                    call.listener().headReceived(RequestFixture.head(status));
                    finish(call);
                }
                default -> {
                    if (!isPrefill) {
                        mRan.add(call);
                    }
                    call.listener().headReceived(RequestFixture.head(200));
                    mProgress.set(mProgress.size() - 1, 1);
                }
            }
        }

        private void continueStream(RecordingPort.SentCall call, int progress) {
            if (mRandom.nextInt(10) == 0) {
                call.listener().body(RequestFixture.bytes("id: 99\nda"));
                mFinished.add(call);
                call.listener().broken("cut within an event");
                return;
            }
            long first = call.options().lastEvent().orElse(0) + 1;
            long next = first + progress - 1;
            if (next > EVENTS || !mKind.isStream()) {
                finish(call);
                return;
            }
            call.listener().body(RequestFixture.event(next));
            if (mProgress.size() == mPort.calls().size()) {
                mProgress.set(mProgress.size() - 1, progress + 1);
            }
        }

        private void finish(RecordingPort.SentCall call) {
            mFinished.add(call);
            call.listener().ended();
        }

        private void check() {
            assertThat(mSeed + ": outcomes", mPort.outcomes(), is(mHasCallerLeft ? 0 : 1));
            if (!mKind.isRepeatable()) {
                assertThat(mSeed + ": runs", mRan.size(), lessThanOrEqualTo(1));
            }
            boolean isRefused =
                    mPort.errorResponse()
                                    .map(error -> error.code().httpStatus() == 503)
                                    .orElse(false)
                            || mPort.response()
                                    .map(head -> head.status() == 503 || head.status() == 429)
                                    .orElse(false);
            if (isRefused) {
                assertThat(mSeed + ": refused although it ran", mRan.isEmpty(), is(true));
            }
            checkEvents();
            for (RecordingPort.SentCall call : mPort.calls()) {
                assertThat(
                        mSeed + ": call still active",
                        mFinished.contains(call) || call.isCancelled(),
                        is(true));
            }
            assertThat(mSeed + ": pending timers", mFixture.timers().pendingCount(), is(0));
            assertThat(mSeed + ": active requests", mFixture.handler().activeRequests(), is(0));
        }

        private void checkEvents() {
            Matcher identifiers = IDENTIFIER.matcher(mPort.streamedText());
            int expected = 0;
            while (identifiers.find()) {
                expected++;
                assertThat(mSeed, Integer.parseInt(identifiers.group(1)), is(expected));
            }
            if (mPort.isStreamEnded()) {
                assertThat(mSeed + ": stream ended early", expected, is(EVENTS));
            }
        }
    }
}
