package org.sesamedeck.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.sesamedeck.core.HostAddress;

class ResumeTokenCodecTest {
    private static final ResumeTokenCodec CODEC = ResumeTokenCodec.of("0123456789abcdef");

    private static ResumeToken token(long number) {
        return new ResumeToken(
                "engine-1", HostAddress.of("127.0.0.1", 80), "id.x.1", number % 2 == 0, number);
    }

    /** Guards against tokens that change when they are encoded and decoded. */
    @Property(seed = "1", tries = 100)
    void decodedTokenEqualsEncodedToken(@ForAll @LongRange(min = 0) long number) {
        assertThat(
                CODEC.decode(CODEC.encode(token(number), "tunis"), "tunis"),
                is(Optional.of(token(number))));
    }

    /**
     * Guards against forged tokens, with which a caller could choose the address that the entry
     * connects to or the event to resume from, and against tokens of another client account or
     * secret.
     */
    @Property(seed = "1", tries = 200)
    void tamperedOrForeignTokenIsNotAccepted(
            @ForAll @IntRange(max = 80) int position,
            @ForAll @IntRange(min = 1, max = 60) int shift) {
        String text = CODEC.encode(token(7), "tunis");
        int index = position % text.length();
        String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        int old = alphabet.indexOf(text.charAt(index));
        // The last Base64 character of each part has unused bits.
        if (old < 0 || index == text.length() - 1 || text.charAt(index + 1) == '.') {
            return;
        }
        String tampered =
                text.substring(0, index)
                        + alphabet.charAt((old + shift) % alphabet.length())
                        + text.substring(index + 1);
        assertThat(CODEC.decode(tampered, "tunis"), is(Optional.empty()));
        assertThat(CODEC.decode(text, "sfax"), is(Optional.empty()));
        assertThat(
                ResumeTokenCodec.of("fedcba9876543210").decode(text, "tunis"),
                is(Optional.empty()));
    }
}
