package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ClientAccountsTest {
    private static final ClientAccount LIBRARY = new ClientAccount("library", OptionalInt.of(1));

    private final ClientAccounts mAccounts =
            ClientAccounts.of(Map.of("key-one", LIBRARY, "key-two", LIBRARY, "", LIBRARY));

    /** Guards against accounts of which only one key works. */
    @Test
    void eachKeyOfAnAccountNamesIt() {
        assertThat(mAccounts.holderOf("key-one"), is(Optional.of(LIBRARY)));
        assertThat(mAccounts.holderOf("key-two"), is(Optional.of(LIBRARY)));
    }

    /** Guards against lookups that take a similar key, a part of a key or an empty one. */
    @Test
    void onlyTheExactKeyNamesAnAccount() {
        String[] unknown = {
            "KEY-ONE", "key-on", "key-one ", "key-onekey-one", "", "x".repeat(9_000)
        };
        for (String key : unknown) {
            assertThat(key, mAccounts.holderOf(key), is(Optional.empty()));
        }
    }

    /** Guards against serving everyone when the configuration names accounts but no key. */
    @Test
    void accountsWithoutKeysStillRequireOne() {
        assertThat(ClientAccounts.of(Map.of()).areRequired(), is(true));
        assertThat(ClientAccounts.none().areRequired(), is(false));
    }

    /** Guards against keys in log lines and messages. */
    @Test
    void textOfRequestDoesNotContainItsKey() {
        CallerRequest request =
                new CallerRequest(
                        "r1",
                        "deck",
                        "/x",
                        Optional.of("key-one"),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        0,
                        List.of(),
                        OptionalLong.empty());
        assertThat(request.toString(), not(containsString("key-one")));
    }
}
