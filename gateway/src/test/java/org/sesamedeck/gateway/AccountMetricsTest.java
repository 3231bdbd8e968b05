package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.AccountShares;
import org.sesamedeck.routing.AccountUsage;
import org.sesamedeck.routing.UsageSummary;

class AccountMetricsTest {
    private final AccountShares mShares = AccountShares.create(ManualClock.create());

    private String metrics() {
        MetricsText text = MetricsText.create();
        AccountMetrics.write(text, mShares);
        return text.toString();
    }

    /** Guards against shares that count only this process, and names that break the text. */
    @Test
    void sharesOfTheHeaviestAccountsAreOfAllProcesses() {
        mShares.record("lib\"rary", 250);
        mShares.updatePeers(new UsageSummary(List.of(new AccountUsage("deck", 500)), 250, 4));
        String text = metrics();
        assertThat(
                text, containsString("sesamedeck_account_share_per_mille{account=\"deck\"} 500"));
        assertThat(
                text,
                containsString("sesamedeck_account_share_per_mille{account=\"lib\\\"rary\"} 250"));
        assertThat(text, containsString("sesamedeck_accounts_active 4"));
    }

    /** Guards against metrics of accounts where there are none. */
    @Test
    void withoutAccountsThereAreNoShares() {
        assertThat(metrics(), not(containsString("sesamedeck_account_share")));
        assertThat(mShares.setBack(), is(0L));
    }
}
