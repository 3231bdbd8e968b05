package org.sesamedeck.node;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.sesamedeck.wire.generated.Envelope;

/** Counts the frames that nodes sent, without TCP and IP headers. */
final class Traffic {
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final Map<Envelope.BodyCase, Long> mBytesByBody = new TreeMap<>();
    private final Map<String, Long> mBytesBySender = new HashMap<>();
    private long mMessages;
    private long mBytes;

    void count(String sender, Envelope message) {
        long size = message.getSerializedSize() + LENGTH_PREFIX_BYTES;
        mMessages++;
        mBytes += size;
        mBytesByBody.merge(message.getBodyCase(), size, Long::sum);
        mBytesBySender.merge(sender, size, Long::sum);
    }

    long messages() {
        return mMessages;
    }

    long bytes() {
        return mBytes;
    }

    /** Returns the bytes by kind of message. */
    Map<Envelope.BodyCase, Long> bytesByBody() {
        return new TreeMap<>(mBytesByBody);
    }

    /** Returns the bytes by sending node. */
    Map<String, Long> bytesBySender() {
        return new HashMap<>(mBytesBySender);
    }
}
