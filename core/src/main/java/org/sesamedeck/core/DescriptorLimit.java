package org.sesamedeck.core;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The limit that the system sets on the open descriptors of this process. */
public final class DescriptorLimit {
    private static final Pattern SOFT_LIMIT =
            Pattern.compile("(?m)^Max open files\\s+(\\d{1,8})\\s");

    /** Usual where the system does not say. */
    private static final int DEFAULT = 1_024;

    private DescriptorLimit() {}

    /** Returns the limit, or a usual one where the system does not say. */
    public static int ofThisProcess() {
        try {
            Matcher limit = SOFT_LIMIT.matcher(Files.readString(Path.of("/proc/self/limits")));
            return limit.find() ? Integer.parseInt(limit.group(1)) : DEFAULT;
        } catch (IOException unknown) {
            return DEFAULT;
        }
    }
}
