package org.sesamedeck.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class HashMixerTest {
    /** Guards against processes of two releases that rank names differently. */
    @Test
    void valuesNeverChange() {
        assertThat(HashMixer.mix(0), is(0L));
        assertThat(HashMixer.mix(1), is(0xb456bcfc34c2cb2cL));
        assertThat(HashMixer.mix(-1), is(0x64b5720b4b825f21L));
        assertThat(HashMixer.mix(0x7f94cfada01eL), is(0xbafa76f1bd93456dL));
    }
}
