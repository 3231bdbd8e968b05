package org.sesamedeck.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Work that client accounts have started lately at some processes: the heaviest accounts by name,
 * and the rest as one sum. It stays small however many accounts there are, and only accounts far
 * above the mean matter to {@link AccountShares}.
 *
 * @param heaviest accounts with most work, in decreasing order
 * @param otherWork decayed work of all other accounts, in prompt tokens
 * @param accounts number of accounts with work; not less than the number of the heaviest
 */
public record UsageSummary(List<AccountUsage> heaviest, long otherWork, int accounts) {
    private static final UsageSummary EMPTY = new UsageSummary(List.of(), 0, 0);

    /** Size of an account in a message beside its name: two tags, two lengths and the work. */
    private static final int ENTRY_BYTES = 12;

    /** Bounds what a false message can claim; real work stays far below it. */
    private static final long MAX_WORK = 1_000_000_000_000L;

    private static final int MAX_ACCOUNTS = 100_000;

    private static final Comparator<AccountUsage> HEAVIEST_FIRST =
            Comparator.comparingLong(AccountUsage::work)
                    .reversed()
                    .thenComparing(AccountUsage::account);

    /** Copies the list, and brings what a message may claim falsely within bounds. */
    public UsageSummary {
        heaviest =
                heaviest.stream()
                        .filter(usage -> !usage.account().isEmpty() && usage.work() > 0)
                        .map(usage -> new AccountUsage(usage.account(), bounded(usage.work())))
                        .toList();
        otherWork = bounded(otherWork);
        accounts = Math.max(heaviest.size(), Math.min(MAX_ACCOUNTS, accounts));
    }

    private static long bounded(long work) {
        return Math.max(0, Math.min(MAX_WORK, work));
    }

    /** Returns a summary without usage. */
    public static UsageSummary empty() {
        return EMPTY;
    }

    /** Returns a summary that names all given accounts. */
    public static UsageSummary of(Collection<AccountUsage> usages) {
        return new UsageSummary(usages.stream().sorted(HEAVIEST_FIRST).toList(), 0, usages.size());
    }

    /**
     * Returns the usage of several groups of processes together. The number of accounts is a lower
     * bound, since the groups share most of their accounts.
     */
    public static UsageSummary sum(Collection<UsageSummary> summaries) {
        Map<String, Long> named = new HashMap<>();
        long others = 0;
        int accounts = 0;
        for (UsageSummary summary : summaries) {
            for (AccountUsage usage : summary.heaviest) {
                named.merge(usage.account(), usage.work(), Long::sum);
            }
            others += summary.otherWork;
            accounts = Math.max(accounts, summary.accounts);
        }
        List<AccountUsage> heaviest = new ArrayList<>();
        named.forEach((account, work) -> heaviest.add(new AccountUsage(account, work)));
        heaviest.sort(HEAVIEST_FIRST);
        return new UsageSummary(heaviest, others, accounts);
    }

    /**
     * Returns a summary that names as many of the heaviest accounts as fit a size.
     *
     * @param maxBytes most bytes of the named accounts in a message
     */
    public UsageSummary within(int maxBytes) {
        int count = 0;
        int bytes = 0;
        for (AccountUsage usage : heaviest) {
            bytes += usage.account().getBytes(StandardCharsets.UTF_8).length + ENTRY_BYTES;
            if (bytes > maxBytes) {
                break;
            }
            count++;
        }
        long dropped =
                heaviest.subList(count, heaviest.size()).stream()
                        .mapToLong(AccountUsage::work)
                        .sum();
        return new UsageSummary(heaviest.subList(0, count), otherWork + dropped, accounts);
    }

    /** Returns whether no account has usage. */
    public boolean isEmpty() {
        return accounts == 0;
    }
}
