package org.sesamedeck.endpoint.command;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.sesamedeck.platform.ObjectKey;

/** Maps engines to engine groups and groups to their objects in the store. */
public final class EngineGroupKeys {
    /** Kind of the objects that hold the lease and the command log of a group. */
    public static final String KIND = "engine-group";

    private EngineGroupKeys() {}

    /**
     * Returns the group of an engine, from 0 to {@code groups - 1}. All nodes must use the same
     * number of groups; it may change only while no control process runs.
     */
    public static int groupOf(String engineName, int groups) {
        // CRC-32 gives the same value in every language; String.hashCode is specific to Java.
        CRC32 checksum = new CRC32();
        checksum.update(engineName.getBytes(StandardCharsets.UTF_8));
        return (int) (checksum.getValue() % groups);
    }

    /** Returns the object that holds the lease and the command log of a group. */
    public static ObjectKey key(int group) {
        return ObjectKey.of(KIND, Integer.toString(group));
    }
}
