package org.sesamedeck.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.sesamedeck.wire.generated.SharedChangesDatagram;

/**
 * Translates changes that are passed on to datagrams. They share a port with load messages and
 * begin with a byte with which neither a protobuf message nor a message about the duties begins.
 */
final class SharedChangesCodec {
    /** Larger changes are not passed on. */
    static final int MAX_SOURCE_BYTES = 64 * 1024;

    private static final byte MARK = 1;
    private static final int BUFFER_BYTES = 1_024;

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
                        .setChanges(ByteString.copyFrom(deflate(changes.source())))
                        .build()
                        .toByteArray();
        byte[] bytes = new byte[body.length + 1];
        bytes[0] = MARK;
        System.arraycopy(body, 0, bytes, 1, body.length);
        return bytes;
    }

    /** Compresses the text of the store, whose entries resemble each other. */
    private static byte[] deflate(byte[] source) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(source);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] compressed) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            byte[] source = new byte[MAX_SOURCE_BYTES];
            int length = inflater.inflate(source);
            if (!inflater.finished()) {
                throw new DataFormatException("changes are truncated or too large");
            }
            return Arrays.copyOf(source, length);
        } finally {
            inflater.end();
        }
    }

    /** Returns the changes; empty for bytes of unrelated senders and impossible revisions. */
    static Optional<SharedChanges> decode(byte[] bytes) {
        if (!isSharedChanges(bytes)) {
            return Optional.empty();
        }
        try {
            SharedChangesDatagram datagram =
                    SharedChangesDatagram.parseFrom(Arrays.copyOfRange(bytes, 1, bytes.length));
            boolean isPossible =
                    datagram.getBaseRevision() >= 0
                            && datagram.getBaseRevision() < datagram.getRevision();
            if (!isPossible) {
                return Optional.empty();
            }
            return Optional.of(
                    new SharedChanges(
                            datagram.getSender(),
                            datagram.getKind(),
                            datagram.getBaseRevision(),
                            datagram.getRevision(),
                            inflate(datagram.getChanges().toByteArray())));
        } catch (InvalidProtocolBufferException | DataFormatException malformed) {
            return Optional.empty();
        }
    }
}
