package org.sesamedeck.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;

class ClaimServiceTest {
    private static final ClaimKey KEY = ClaimKey.of("customer", "key");
    private static final ClaimOutcome OUTCOME =
            ClaimOutcome.of(201, "text/plain", "done".getBytes(StandardCharsets.UTF_8));

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mScheduler, mScheduler.clock());
    private ClaimService mService;

    @BeforeEach
    void createService() {
        mService = service("first", 1 << 20);
    }

    private ClaimService service(String token, long shardBytes) {
        ClaimService service =
                DefaultClaimService.create(
                        mStore,
                        mScheduler,
                        mScheduler.clock(),
                        new ClaimSettings(
                                1,
                                Duration.ofMillis(5),
                                20,
                                Duration.ofHours(24),
                                2000,
                                shardBytes),
                        token);
        run(service.acquireShard(0));
        return service;
    }

    private <T> T run(CompletableFuture<T> call) {
        mScheduler.advance(Duration.ofMillis(100));
        assertThat(call.isDone(), is(true));
        return call.join();
    }

    private ResultCode failure(CompletableFuture<?> call) {
        return SesamedeckException.from(assertThrows(RuntimeException.class, () -> run(call)))
                .code();
    }

    private ClaimState claim(ClaimService service, ClaimKey key, String digest, String attemptId) {
        return run(service.claim(attempt(key, digest, attemptId))).state();
    }

    private static ClaimAttempt attempt(ClaimKey key, String digest, String attemptId) {
        return new ClaimAttempt(key, digest, attemptId, Duration.ofSeconds(5));
    }

    /**
     * The state returned to a second attempt decides whether the caller may run the request again.
     */
    @Test
    void secondAttemptReceivesTheStateOfTheFirst() {
        assertThat(claim(mService, KEY, "digest", "one"), is(ClaimState.GRANTED));
        assertThat(claim(mService, KEY, "digest", "one"), is(ClaimState.GRANTED));
        assertThat(claim(mService, KEY, "digest", "two"), is(ClaimState.IN_PROGRESS));
        assertThat(claim(mService, KEY, "other", "two"), is(ClaimState.KEY_REUSED));
        mScheduler.advance(Duration.ofSeconds(6));
        assertThat(claim(mService, KEY, "digest", "two"), is(ClaimState.OUTCOME_UNKNOWN));
        run(mService.complete(KEY, "one", OUTCOME));
        assertThat(
                run(mService.claim(attempt(KEY, "digest", "two"))), is(ClaimResult.done(OUTCOME)));
        assertThat(failure(mService.abandon(KEY, "one")), is(ResultCode.NOT_FOUND));
    }

    /**
     * Only the attempt that holds a claim may free it. After that, the claim belongs to the next
     * attempt, and a late completion of the first must not overwrite it.
     */
    @Test
    void abandonedClaimIsGrantedToTheNextAttempt() {
        claim(mService, KEY, "digest", "one");
        assertThat(failure(mService.abandon(KEY, "two")), is(ResultCode.NOT_FOUND));
        run(mService.abandon(KEY, "one"));
        assertThat(claim(mService, KEY, "digest", "two"), is(ClaimState.GRANTED));
        assertThat(failure(mService.complete(KEY, "one", OUTCOME)), is(ResultCode.NOT_FOUND));
    }

    /**
     * Claims and outcomes of open and sealed segments must survive a change of owner, and the
     * former owner must not grant any more claims.
     */
    @Test
    void nextOwnerLoadsClaimsOfOpenAndSealedSegments() {
        for (int i = 0; i < 60; i++) {
            ClaimKey key = ClaimKey.of("customer", "key-" + i);
            claim(mService, key, "digest", "attempt-" + i);
            if (i % 2 == 0) {
                run(mService.complete(key, "attempt-" + i, OUTCOME));
            }
        }
        assertThat(run(mStore.list("claim-segment")).size(), greaterThan(2));
        ClaimService next = service("second", 1 << 20);
        for (int i = 0; i < 60; i++) {
            ClaimKey key = ClaimKey.of("customer", "key-" + i);
            ClaimState state = claim(next, key, "digest", "late");
            if (i % 2 == 0) {
                assertThat("claim " + i, state, is(ClaimState.DONE));
            } else {
                assertThat("claim " + i, state == ClaimState.GRANTED, is(false));
            }
        }
        assertThat(
                failure(mService.claim(attempt(ClaimKey.of("customer", "new"), "d", "a"))),
                is(ResultCode.CLAIMS_UNAVAILABLE));
        assertThat(mService.ownedShards(), empty());
    }

    /**
     * The number of writes must not grow with the request rate, because the store limits the write
     * rate.
     */
    @Test
    void concurrentClaimsShareWrites() {
        long before = mStore.calls().writes();
        CompletableFuture<?>[] claims = new CompletableFuture<?>[200];
        for (int i = 0; i < claims.length; i++) {
            claims[i] =
                    mService.claim(attempt(ClaimKey.of("customer", "key-" + i), "digest", "a" + i));
        }
        run(CompletableFuture.allOf(claims));
        assertThat(mStore.calls().writes() - before, lessThanOrEqualTo(2L));
    }

    /**
     * During a store outage, the first claim fails after the maximum wait and later ones fail at
     * once, so that callers do not wait; after the outage, the key must not stay blocked by them.
     */
    @Test
    void claimsAreRefusedDuringAStoreOutage() {
        mStore.setUnavailable(true);
        CompletableFuture<ClaimResult> first = mService.claim(attempt(KEY, "digest", "one"));
        mScheduler.advance(Duration.ofSeconds(3));
        assertThat(failure(first), is(ResultCode.CLAIMS_UNAVAILABLE));
        CompletableFuture<ClaimResult> second = mService.claim(attempt(KEY, "digest", "two"));
        assertThat(second.isCompletedExceptionally(), is(true));
        mStore.setUnavailable(false);
        mScheduler.advance(Duration.ofSeconds(3));
        assertThat(claim(mService, KEY, "digest", "three"), is(ClaimState.GRANTED));
    }

    /**
     * The limit on the size of sealed segments must bound memory and the number of stored objects,
     * but never drop the claim of a running request.
     */
    @Test
    void sizeLimitDropsTheOldestCompletedClaims() {
        ClaimService small = service("small", 8000);
        small.claim(new ClaimAttempt(KEY, "digest", "long", Duration.ofHours(1)));
        for (int i = 0; i < 200; i++) {
            ClaimKey key = ClaimKey.of("customer", "key-" + i);
            claim(small, key, "digest", "a" + i);
            run(small.complete(key, "a" + i, OUTCOME));
        }
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(run(mStore.list("claim-segment")).size(), lessThan(8));
        assertThat(
                claim(small, ClaimKey.of("customer", "key-0"), "digest", "b"),
                is(ClaimState.GRANTED));
        assertThat(claim(small, KEY, "digest", "b"), is(ClaimState.IN_PROGRESS));
        assertThat(small.oldestSegmentAge(0), greaterThan(Duration.ZERO));
    }

    /** The key comes from the caller, so its length must be limited. */
    @Test
    void overlongIdempotencyKeyIsRefused() {
        SesamedeckException failure =
                assertThrows(
                        SesamedeckException.class, () -> ClaimKey.of("customer", "k".repeat(201)));
        assertThat(failure.code(), is(ResultCode.BAD_REQUEST));
    }
}
