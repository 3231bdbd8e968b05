package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestBodyTest {
    /** Guards against lost or doubled bytes at the borders of blocks, and against idle memory. */
    @ParameterizedTest
    @CsvSource({"0,0,1", "800,800,800", "800,0,12", "300000,0,12", "300000,300000,16384"})
    void partsAreJoined(int size, int declared, int partBytes) {
        byte[] bytes = new byte[size];
        new Random(1).nextBytes(bytes);
        RequestBody body = RequestBody.create(declared);
        int reserved = 0;
        for (int from = 0; from < size; from += partBytes) {
            int part = Math.min(partBytes, size - from);
            reserved += body.growth(part);
            body.add(Unpooled.wrappedBuffer(bytes, from, part));
        }
        assertThat(body.size(), equalTo(size));
        assertThat(ByteBufUtil.getBytes(body.toBuffer()), equalTo(bytes));
        assertThat(reserved - size, lessThan(64 * 1_024));
    }
}
