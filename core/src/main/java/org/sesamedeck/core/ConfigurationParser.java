package org.sesamedeck.core;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Parses and validates the two lists that operators write. The schema is documented in
 * docs/lists.md; both lists are validated together because each refers to plans of the other.
 */
public final class ConfigurationParser {
    /** Source name of the list of plans and client accounts in error messages. */
    public static final String PLANS_SOURCE = "plans.ini";

    /** Source name of the list of entitlements in error messages. */
    public static final String ENTITLEMENTS_SOURCE = "entitlements.ini";

    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
    private static final long MAX_PER_MINUTE = 1_000_000_000_000L;
    private static final long MAX_CONCURRENT = 1_000_000L;
    private static final double MIN_SHARE = 0.001;
    private static final double MAX_SHARE = 1_000_000.0;
    private static final Duration MIN_GOAL = Duration.ofMillis(1);
    private static final Duration MAX_GOAL = Duration.ofMinutes(10);
    private static final List<String> PLAN_KEYS =
            List.of(
                    "share",
                    "priority",
                    "requests-per-minute",
                    "tokens-per-minute",
                    "concurrent-requests",
                    "first-token-goal",
                    "token-interval-goal");
    private static final List<String> CLIENT_ACCOUNT_KEYS = List.of("plan", "key-sha256");
    private static final List<String> ENTITLEMENT_KEYS = List.of("models", "services", "regions");

    private final List<SettingError> mErrors = new ArrayList<>();
    private final Map<String, Plan> mPlans = new LinkedHashMap<>();
    private final Map<String, ClientAccount> mClientAccounts = new LinkedHashMap<>();
    private final Map<String, ClientAccount> mClientAccountsByKey = new LinkedHashMap<>();
    private final Map<String, Entitlement> mEntitlements = new LinkedHashMap<>();

    private ConfigurationParser() {}

    /** Returns the configuration with the given version, or all errors of both lists. */
    public static ConfigurationResult parse(
            long version, String plansText, String entitlementsText) {
        ConfigurationParser parser = new ConfigurationParser();
        parser.readPlans(IniDocument.parse(PLANS_SOURCE, plansText, parser.mErrors));
        parser.readEntitlements(
                IniDocument.parse(ENTITLEMENTS_SOURCE, entitlementsText, parser.mErrors));
        parser.checkReferences();
        if (!parser.mErrors.isEmpty()) {
            return new ConfigurationResult(Optional.empty(), List.copyOf(parser.mErrors));
        }
        return new ConfigurationResult(
                Optional.of(
                        new Configuration(
                                version,
                                Map.copyOf(parser.mPlans),
                                Map.copyOf(parser.mClientAccounts),
                                Map.copyOf(parser.mEntitlements),
                                Map.copyOf(parser.mClientAccountsByKey))),
                List.of());
    }

    private void readPlans(IniDocument document) {
        document.sections()
                .forEach(
                        (section, values) -> {
                            SectionReader reader =
                                    SectionReader.of(document.source(), section, values, mErrors);
                            Optional<String> plan = reader.nameAfter("plan");
                            Optional<String> clientAccount = reader.nameAfter("customer");
                            if (plan.isPresent()) {
                                reader.checkKeys(PLAN_KEYS);
                                readPlan(plan.get(), reader);
                            } else if (clientAccount.isPresent()) {
                                reader.checkKeys(CLIENT_ACCOUNT_KEYS);
                                readClientAccount(clientAccount.get(), reader);
                            } else {
                                reader.error("", "", "[plan <name>] or [customer <name>]");
                            }
                        });
    }

    private void readPlan(String name, SectionReader reader) {
        Optional<Double> share =
                reader.value("share", SettingTypes.decimal(MIN_SHARE, MAX_SHARE), null);
        Optional<Long> priority = reader.value("priority", SettingTypes.wholeNumber(0, 9), "5");
        Optional<Long> requests =
                reader.value(
                        "requests-per-minute",
                        SettingTypes.wholeNumber(1, MAX_PER_MINUTE),
                        String.valueOf(MAX_PER_MINUTE));
        Optional<Long> tokens =
                reader.value(
                        "tokens-per-minute",
                        SettingTypes.wholeNumber(1, MAX_PER_MINUTE),
                        String.valueOf(MAX_PER_MINUTE));
        Optional<Long> concurrent =
                reader.value(
                        "concurrent-requests",
                        SettingTypes.wholeNumber(1, MAX_CONCURRENT),
                        String.valueOf(MAX_CONCURRENT));
        Optional<Duration> firstToken =
                reader.value("first-token-goal", SettingTypes.duration(MIN_GOAL, MAX_GOAL), "2s");
        Optional<Duration> interval =
                reader.value(
                        "token-interval-goal", SettingTypes.duration(MIN_GOAL, MAX_GOAL), "100ms");
        if (share.isPresent()
                && priority.isPresent()
                && requests.isPresent()
                && tokens.isPresent()
                && concurrent.isPresent()
                && firstToken.isPresent()
                && interval.isPresent()) {
            mPlans.put(
                    name,
                    new Plan(
                            name,
                            share.get(),
                            priority.get().intValue(),
                            requests.get(),
                            tokens.get(),
                            concurrent.get(),
                            firstToken.get(),
                            interval.get()));
        }
    }

    private void readClientAccount(String name, SectionReader reader) {
        Optional<String> plan = reader.value("plan", SettingTypes.name(), null);
        Optional<String> key = reader.value("key-sha256", SettingTypes.text(), null);
        if (key.isPresent() && !SHA_256.matcher(key.get()).matches()) {
            reader.error("key-sha256", key.get(), "64 lower-case hexadecimal digits");
            return;
        }
        if (plan.isEmpty() || key.isEmpty()) {
            return;
        }
        ClientAccount clientAccount = new ClientAccount(name, plan.get(), key.get());
        mClientAccounts.put(name, clientAccount);
        ClientAccount other = mClientAccountsByKey.putIfAbsent(key.get(), clientAccount);
        if (other != null) {
            reader.error(
                    "key-sha256", key.get(), "a key of its own; " + other.name() + " has this one");
        }
    }

    private void readEntitlements(IniDocument document) {
        document.sections()
                .forEach(
                        (section, values) -> {
                            SectionReader reader =
                                    SectionReader.of(document.source(), section, values, mErrors);
                            Optional<String> plan = reader.nameAfter("plan");
                            if (plan.isEmpty()) {
                                reader.error("", "", "[plan <name>]");
                                return;
                            }
                            reader.checkKeys(ENTITLEMENT_KEYS);
                            mEntitlements.put(
                                    plan.get(),
                                    new Entitlement(
                                            plan.get(),
                                            names(reader, "models"),
                                            names(reader, "services"),
                                            names(reader, "regions")));
                        });
    }

    private static Set<String> names(SectionReader reader, String key) {
        return Set.copyOf(
                new LinkedHashSet<>(
                        reader.value(key, SettingTypes.listOf(SettingTypes.name()), "")
                                .orElse(List.of())));
    }

    private void checkReferences() {
        for (ClientAccount clientAccount : mClientAccounts.values()) {
            if (!mPlans.containsKey(clientAccount.plan())) {
                mErrors.add(
                        SettingError.of(
                                PLANS_SOURCE,
                                "customer " + clientAccount.name(),
                                "plan",
                                clientAccount.plan(),
                                "a plan of this list: " + mPlans.keySet()));
            }
        }
        for (String plan : mEntitlements.keySet()) {
            if (!mPlans.containsKey(plan)) {
                mErrors.add(
                        SettingError.of(
                                ENTITLEMENTS_SOURCE,
                                "plan " + plan,
                                "",
                                "",
                                "a plan of " + PLANS_SOURCE + ": " + mPlans.keySet()));
            }
        }
        for (String plan : mPlans.keySet()) {
            if (!mEntitlements.containsKey(plan)) {
                mErrors.add(
                        SettingError.of(
                                ENTITLEMENTS_SOURCE,
                                "plan " + plan,
                                "",
                                "",
                                "a section for each plan of " + PLANS_SOURCE));
            }
        }
    }
}
