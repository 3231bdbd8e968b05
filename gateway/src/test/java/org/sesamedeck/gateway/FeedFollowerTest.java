package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.request.Decision;

class FeedFollowerTest {
    private final ManualScheduler mTime = ManualScheduler.create();
    private final RecordingLog mLog = new RecordingLog();
    private final Deque<CompletableFuture<Feed.Page<String>>> mLists = new ArrayDeque<>();
    private final Deque<CompletableFuture<Feed.Changes<String>>> mWatches = new ArrayDeque<>();
    private final List<String> mCalls = new ArrayList<>();
    private final List<String> mHeard = new ArrayList<>();

    private final Feed<String> mFeed =
            new Feed<>() {
                @Override
                public String name() {
                    return "things";
                }

                @Override
                public CompletableFuture<Page<String>> list(Optional<String> after) {
                    mCalls.add("list after " + after.orElse("-"));
                    CompletableFuture<Page<String>> answer = new CompletableFuture<>();
                    mLists.add(answer);
                    return answer;
                }

                @Override
                public CompletableFuture<Changes<String>> watch(long revision, Duration wait) {
                    mCalls.add("watch " + revision);
                    CompletableFuture<Changes<String>> answer = new CompletableFuture<>();
                    mWatches.add(answer);
                    return answer;
                }
            };

    private final FeedFollower.Listener<String> mListener =
            new FeedFollower.Listener<>() {
                @Override
                public void listed(List<Feed.Item<String>> items) {
                    mHeard.add("listed " + items.size());
                }

                @Override
                public void changed(List<Feed.Item<String>> items) {
                    mHeard.add("changed " + items.size());
                }

                @Override
                public void lost() {
                    mHeard.add("lost");
                }

                @Override
                public void regained() {
                    mHeard.add("regained");
                }
            };

    private void start() {
        FeedFollower.create(
                        mFeed,
                        mTime.clock(),
                        new ManualTimers(mTime),
                        mLog,
                        mListener,
                        FeedFollower.PROMPT,
                        1)
                .start();
    }

    private static List<Feed.Item<String>> items(String... names) {
        List<Feed.Item<String>> items = new ArrayList<>();
        for (String name : names) {
            items.add(new Feed.Item<>(name, Optional.of("value"), false));
        }
        return items;
    }

    private static SesamedeckException unavailable() {
        return SesamedeckException.of(ResultCode.STORE_UNAVAILABLE, "down");
    }

    /** Guards against a list of which only the first page is used. */
    @Test
    void allPagesAreReadBeforeTheListCounts() {
        start();
        mLists.remove().complete(new Feed.Page<>(items("a", "b"), true, 7));
        assertThat(mHeard, hasSize(0));
        mLists.remove().complete(new Feed.Page<>(items("c"), false, 9));
        assertThat(mHeard, contains("listed 3"));
        assertThat(mCalls, contains("list after -", "list after b", "watch 9"));
    }

    /** Guards against changes that are missed because a failed watch began anew. */
    @Test
    void failedWatchIsRepeatedFromTheSameRevision() {
        start();
        mLists.remove().complete(new Feed.Page<>(items("a"), false, 9));
        mWatches.remove().completeExceptionally(unavailable());
        mTime.advance(Duration.ofSeconds(1));
        mWatches.remove().complete(new Feed.Changes<>(items("a"), 12, false));
        assertThat(mCalls, contains("list after -", "watch 9", "watch 9", "watch 12"));
        assertThat(mHeard, contains("listed 1", "lost", "regained", "changed 1"));
        assertThat(
                mLog.decisions(), contains(Decision.DEPENDENCY_LOST, Decision.DEPENDENCY_REGAINED));
    }

    /** Guards against following a history that the store has dropped. */
    @Test
    void lostHistoryIsMadeGoodByAList() {
        start();
        mLists.remove().complete(new Feed.Page<>(items("a"), false, 9));
        mWatches.remove().complete(new Feed.Changes<>(List.of(), 9, true));
        assertThat(mCalls.get(mCalls.size() - 1), equalTo("list after -"));
    }

    /** Guards against a flood of calls to a store that is down. */
    @Test
    void pausesBetweenFailuresGrow() {
        start();
        mLists.remove().complete(new Feed.Page<>(items("a"), false, 9));
        for (int i = 0; i < 100; i++) {
            while (!mWatches.isEmpty()) {
                mWatches.remove().completeExceptionally(unavailable());
            }
            mTime.advance(Duration.ofMillis(100));
        }
        assertThat(mCalls.size() < 25, is(true));
    }
}
