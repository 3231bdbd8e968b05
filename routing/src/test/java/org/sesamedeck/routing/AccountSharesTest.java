package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class AccountSharesTest {
    private final ManualClock mClock = ManualClock.create();
    private final AccountShares mShares = AccountShares.create(mClock);

    /** Guards against setting back an account that nobody competes with. */
    @Test
    void accountThatIsAloneMayUseEverything() {
        mShares.record("library", 1e9);
        assertThat(mShares.isOverShare("library"), is(false));
        assertThat(mShares.isOverShare(""), is(false));
    }

    /** Guards against setting back all requests without an account as if they were of one. */
    @Test
    void requestsWithoutAccountAreNotCounted() {
        mShares.record("", 1e9);
        recordTenAccounts();
        assertThat(mShares.own().accounts(), is(10));
        assertThat(mShares.isOverShare(""), is(false));
        assertThat(mShares.isOverShare("account 0"), is(true));
    }

    /** Guards against accounts with a few requests that lower the share of those that compete. */
    @Test
    void accountsThatHardlyUseAnythingDoNotLowerTheShare() {
        mShares.record("library", 10_000);
        mShares.record("archive", 9_000);
        for (int i = 0; i < 20; i++) {
            mShares.record("account " + i, 2);
        }
        assertThat(mShares.overShare(), is(Set.of()));
    }

    /** Guards against judging an account by what one process sees of it. */
    @Test
    void usageOfOtherProcessesCounts() {
        for (int i = 0; i < 9; i++) {
            mShares.record("account " + i, 100);
        }
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mShares.isOverShare("account 0"), is(false));
        mShares.updatePeers(UsageSummary.of(List.of(new AccountUsage("account 0", 10_000))));
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mShares.isOverShare("account 0"), is(true));
        assertThat(mShares.isOverShare("account 1"), is(false));
    }

    /**
     * Guards against setting an account back for long after its burst, and against growing state.
     */
    @Test
    void usageIsForgotten() {
        for (int i = 0; i < 9; i++) {
            mShares.record("account " + i, i == 0 ? 10_000 : 100);
        }
        assertThat(mShares.isOverShare("account 0"), is(true));
        mClock.advance(Duration.ofMinutes(2));
        assertThat(mShares.isOverShare("account 0"), is(false));
        assertThat(mShares.own(), is(UsageSummary.empty()));
    }

    private void recordTenAccounts() {
        for (int i = 0; i < 10; i++) {
            mShares.record("account " + i, i == 0 ? 10_000 : 100);
        }
    }

    /** Guards against explanations that differ from decisions or change a later one. */
    @Test
    void explanationTellsTheDecisionAndChangesNothing() {
        recordTenAccounts();
        mShares.overShare();
        assertThat(mShares.wouldSetBack("account 1"), is(false));
        mShares.recordUnserved("account 0");
        mShares.recordUnserved("account 0");
        for (int i = 0; i < 3; i++) {
            assertThat(mShares.wouldSetBack("account 0"), is(false));
        }
        assertThat(mShares.setsBack("account 0"), is(false));
        assertThat(mShares.wouldSetBack("account 0"), is(true));
        assertThat(mShares.setBack(), is(0L));
    }

    /** Guards against an account that gets nothing while the others fill the capacity. */
    @Test
    void oneInThreeRequestsIsNotSetBackWhileNoneThatIsSetBackIsServed() {
        recordTenAccounts();
        int setBack = 0;
        for (int i = 0; i < 300; i++) {
            if (mShares.setsBack("account 0")) {
                setBack++;
                mShares.recordUnserved("account 0");
            }
        }
        assertThat(setBack, is(200));
        assertThat(mShares.setBack(), is(200L));
    }

    /** Guards against an account over its share that passes others although it is served. */
    @Test
    void allRequestsAreSetBackWhileTheyAreServed() {
        recordTenAccounts();
        for (int i = 0; i < 100; i++) {
            assertThat(mShares.setsBack("account 0"), is(true));
            assertThat(mShares.setsBack("account 1"), is(false));
        }
    }

    /** Guards against failures of earlier bursts that count in a later one. */
    @Test
    void unservedRequestsAreForgottenOnceTheAccountIsWithinItsShare() {
        recordTenAccounts();
        for (int i = 0; i < 50; i++) {
            mShares.recordUnserved("account 0");
        }
        mClock.advance(Duration.ofMinutes(1));
        assertThat(mShares.setsBack("account 0"), is(false));
        recordTenAccounts();
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mShares.setsBack("account 0"), is(true));
    }
}
