package org.sesamedeck.gateway;

import org.sesamedeck.routing.AccountShares;
import org.sesamedeck.routing.AccountUsage;
import org.sesamedeck.routing.UsageSummary;

/** Metrics of the shares of client accounts; none where no account has used anything lately. */
final class AccountMetrics {
    private static final int MAX_ACCOUNTS = 10;
    private static final int PER_MILLE = 1_000;

    private AccountMetrics() {}

    /** Adds the parts of the heaviest accounts in the work of all processes, and the counts. */
    static void write(MetricsText text, AccountShares shares) {
        text.value("sesamedeck_requests_set_back_total", shares.setBack());
        UsageSummary total = shares.total();
        if (total.isEmpty()) {
            return;
        }
        long work =
                total.otherWork() + total.heaviest().stream().mapToLong(AccountUsage::work).sum();
        total.heaviest().stream()
                .limit(MAX_ACCOUNTS)
                .forEach(
                        usage ->
                                text.value(
                                        "sesamedeck_account_share_per_mille",
                                        "account",
                                        usage.account(),
                                        usage.work() * PER_MILLE / Math.max(1, work)));
        text.value("sesamedeck_accounts_active", total.accounts());
        text.value("sesamedeck_accounts_over_share", shares.overShare().size());
    }
}
