package org.sesamedeck.emulator.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads the server-sent events of a response. An incomplete event at the end is discarded. */
final class LoadTestEventReader {
    private final BufferedReader mReader;

    private LoadTestEventReader(InputStream input) {
        mReader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    }

    static LoadTestEventReader of(InputStream input) {
        return new LoadTestEventReader(input);
    }

    /** Returns the next event; empty at the end of the stream. */
    Optional<ServerSentEvent> next() throws IOException {
        String id = "";
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        String line = mReader.readLine();
        while (line != null) {
            if (line.isEmpty() && hasData) {
                return Optional.of(new ServerSentEvent(id, data.toString()));
            }
            if (line.startsWith("id:")) {
                id = line.substring(3).trim();
            } else if (line.startsWith("data:")) {
                data.append(hasData ? "\n" : "").append(line.substring(5).trim());
                hasData = true;
            }
            line = mReader.readLine();
        }
        return Optional.empty();
    }
}
