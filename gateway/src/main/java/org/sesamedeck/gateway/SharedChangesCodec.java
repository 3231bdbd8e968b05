package org.sesamedeck.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Arrays;
import java.util.Optional;
import org.sesamedeck.wire.generated.SharedChangesDatagram;

/**
 * Translates changes that are passed on to datagrams. They share a port with load messages and
 * begin with a byte with which neither a protobuf message nor a message about the duties begins.
 */
final class SharedChangesCodec {
    private static final byte MARK = 1;

    private SharedChangesCodec() {}

    /** Returns whether a datagram contains changes. */
    static boolean isSharedChanges(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == MARK;
    }

    static byte[] encode(SharedChanges changes) {
        byte[] body =
                SharedChangesDatagram.newBuilder()
                        .setSender(changes.sender())
                        .setKind(changes.kind())
                        .setBaseRevision(changes.baseRevision())
                        .setRevision(changes.revision())
                        .setChanges(ByteString.copyFrom(changes.source()))
                        .build()
                        .toByteArray();
        byte[] bytes = new byte[body.length + 1];
        bytes[0] = MARK;
        System.arraycopy(body, 0, bytes, 1, body.length);
        return bytes;
    }

    /** Returns the changes; empty for bytes of unrelated senders. */
    static Optional<SharedChanges> decode(byte[] bytes) {
        if (!isSharedChanges(bytes)) {
            return Optional.empty();
        }
        try {
            SharedChangesDatagram datagram =
                    SharedChangesDatagram.parseFrom(Arrays.copyOfRange(bytes, 1, bytes.length));
            return Optional.of(
                    new SharedChanges(
                            datagram.getSender(),
                            datagram.getKind(),
                            datagram.getBaseRevision(),
                            datagram.getRevision(),
                            datagram.getChanges().toByteArray()));
        } catch (InvalidProtocolBufferException malformed) {
            return Optional.empty();
        }
    }
}
