package org.sesamedeck.node;

import java.nio.charset.StandardCharsets;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * A document that is disseminated to all nodes.
 *
 * @param key name of the document
 * @param version version; a higher one replaces a lower one
 * @param compressed content as stored and sent, DEFLATE-compressed
 */
public record VersionedDocument(String key, long version, byte[] compressed) {
    /**
     * Largest content in bytes. The host list of 5,600 endpoints and 490 nodes takes 1.1 MB, more
     * than a value of the object API; the compressed content must still fit into one frame.
     */
    public static final int MAX_CONTENT_BYTES = 4 * 1024 * 1024;

    /**
     * Returns a document with the given content.
     *
     * @throws SesamedeckException with VALUE_TOO_LARGE above {@link #MAX_CONTENT_BYTES}
     */
    public static VersionedDocument of(String key, long version, String content) {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_CONTENT_BYTES) {
            throw tooLarge(key, version);
        }
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            byte[] buffer = new byte[bytes.length + bytes.length / 1000 + 64];
            int length = deflater.deflate(buffer);
            return new VersionedDocument(key, version, java.util.Arrays.copyOf(buffer, length));
        } finally {
            deflater.end();
        }
    }

    /**
     * Returns the content.
     *
     * @throws SesamedeckException with VALUE_TOO_LARGE or BAD_REQUEST when it cannot be
     *     decompressed
     */
    public String content() {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            java.io.ByteArrayOutputStream content = new java.io.ByteArrayOutputStream();
            byte[] buffer = new byte[8192];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw malformed(null);
                }
                content.write(buffer, 0, length);
                // Bounds the memory that a small document from a faulty peer can take when
                // decompressed.
                if (content.size() > MAX_CONTENT_BYTES) {
                    throw tooLarge(key, version);
                }
            }
            return content.toString(StandardCharsets.UTF_8);
        } catch (DataFormatException failure) {
            throw malformed(failure);
        } finally {
            inflater.end();
        }
    }

    private SesamedeckException malformed(Throwable cause) {
        return SesamedeckException.of(
                ResultCode.BAD_REQUEST,
                "document " + key + " version " + version + " is not DEFLATE data",
                cause);
    }

    private static SesamedeckException tooLarge(String key, long version) {
        return SesamedeckException.of(
                ResultCode.VALUE_TOO_LARGE,
                "document " + key + " version " + version + " exceeds " + MAX_CONTENT_BYTES);
    }
}
