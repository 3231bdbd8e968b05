package org.sesamedeck.emulator.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Locates the source tree, which holds the scripts that start the programs. */
final class SourceTree {
    private static final String SCRIPT = "bin/java-program";

    private SourceTree() {}

    /** Returns the nearest directory at or above the working directory that holds the scripts. */
    static Path root() throws IOException {
        Path directory = Path.of("").toAbsolutePath();
        while (directory != null && !Files.exists(directory.resolve(SCRIPT))) {
            directory = directory.getParent();
        }
        if (directory == null) {
            throw new IOException("no " + SCRIPT + " at or above " + Path.of("").toAbsolutePath());
        }
        return directory;
    }
}
