package org.sesamedeck.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationParserTest {
    private static final String KEY = "ab".repeat(32);
    private static final String PLANS =
            "[plan gold]\nshare = 40\npriority = 7\nfirst-token-goal = 450ms\n"
                    + "[customer sfax-kitchen]\nplan = gold\nkey-sha256 = "
                    + KEY
                    + "\n";
    private static final String ENTITLEMENTS =
            "[plan gold]\nmodels = judge, notes.v2\nservices = cookbook-app\n";

    private static List<String> errors(String plans, String entitlements) {
        return ConfigurationParser.parse(1, plans, entitlements).errors().stream()
                .map(SettingError::toString)
                .toList();
    }

    @Test
    void validListsBecomeOneConfiguration() {
        ConfigurationResult result = ConfigurationParser.parse(7, PLANS, ENTITLEMENTS);

        assertThat(result.errors(), is(empty()));
        Configuration configuration = result.orThrow();
        assertThat(configuration.version(), is(7L));
        ClientAccount clientAccount = configuration.clientAccountByKeySha256(KEY).orElseThrow();
        assertThat(clientAccount.name(), is("sfax-kitchen"));
        assertThat(configuration.planOf(clientAccount).priority(), is(7));
        assertThat(
                configuration.planOf(clientAccount).firstTokenGoal(), is(Duration.ofMillis(450)));
        assertThat(
                configuration.entitlementOf(clientAccount).models(),
                containsInAnyOrder("judge", "notes.v2"));
    }

    /** Guards against reporting only the first error, so that operators fix them one at a time. */
    @Test
    void everyErrorOfBothListsIsReportedAtOnce() {
        List<String> errors =
                errors(
                        "[plan gold]\nshare = none\npriority = 12\ncolour = red\n"
                                + "[customer a]\nplan = silver\nkey-sha256 = zz\n",
                        "[plan bronze]\nmodels = Judge!\n");

        assertThat(errors, hasItem(containsString("[plan gold] share = \"none\"")));
        assertThat(errors, hasItem(containsString("[plan gold] priority = \"12\"")));
        assertThat(errors, hasItem(containsString("[plan gold] colour = \"red\"")));
        assertThat(errors, hasItem(containsString("[customer a] key-sha256 = \"zz\"")));
        assertThat(errors, hasItem(containsString("entitlements.ini: [plan bronze] models")));
    }

    /** Guards against a plan that is in only one of the two lists. */
    @Test
    void plansOfBothListsMustMatch() {
        assertThat(errors(PLANS, "[plan other]\nmodels = judge\n"), hasSize(2));
        assertThat(
                errors(PLANS.replace("plan = gold", "plan = silver"), ENTITLEMENTS),
                hasItem(containsString("[customer sfax-kitchen] plan = \"silver\"")));
    }

    /** Guards against repeated sections and keys, which the INI library merges silently. */
    @Test
    void repeatedSectionsAndKeysAreErrors() {
        assertThat(
                errors(PLANS + "[plan gold]\nshare = 1\n", ENTITLEMENTS),
                hasItem(containsString("each section once")));
        assertThat(
                errors(PLANS.replace("share = 40", "share = 40\nshare = 41"), ENTITLEMENTS),
                hasItem(containsString("each key once")));
        assertThat(
                errors(PLANS + "half a line\n", ENTITLEMENTS),
                hasItem(containsString("key = value")));
    }

    /** Guards against client accounts that cannot be distinguished by their key. */
    @Test
    void clientAccountsMayNotShareAKey() {
        assertThat(
                errors(
                        PLANS + "[customer tunis]\nplan = gold\nkey-sha256 = " + KEY + "\n",
                        ENTITLEMENTS),
                hasItem(containsString("a key of its own")));
    }
}
