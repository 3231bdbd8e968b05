package org.sesamedeck.endpoint;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.routing.LoadReport;

/** Parses the load header {@code queued=..;running=..;prompt-tokens=..;kv=..;age-millis=..}. */
public final class LoadHeader {
    /** Name of the header. */
    public static final String NAME = "X-Load";

    private LoadHeader() {}

    /**
     * Returns the load report; empty when the text is malformed. Unknown keys are ignored.
     *
     * @param nowNanos monotonic time at which the text arrived, in nanoseconds
     */
    public static Optional<LoadReport> parse(String text, long nowNanos) {
        int queued = 0;
        int running = 0;
        long promptTokens = 0;
        double kvCacheUsage = 0;
        long ageMillis = 0;
        boolean hasRunning = false;
        try {
            for (String part : text.split(";")) {
                int equals = part.indexOf('=');
                if (equals < 0) {
                    return Optional.empty();
                }
                String value = part.substring(equals + 1).strip();
                switch (part.substring(0, equals).strip()) {
                    case "queued" -> queued = Integer.parseInt(value);
                    case "running" -> {
                        running = Integer.parseInt(value);
                        hasRunning = true;
                    }
                    case "prompt-tokens" -> promptTokens = Long.parseLong(value);
                    case "kv" -> kvCacheUsage = Double.parseDouble(value);
                    case "age-millis" -> ageMillis = Long.parseLong(value);
                    default -> {
                        // Later versions may add keys.
                    }
                }
            }
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
        return hasRunning && queued >= 0 && running >= 0 && promptTokens >= 0 && ageMillis >= 0
                ? Optional.of(
                        new LoadReport(
                                queued,
                                running,
                                promptTokens,
                                kvCacheUsage,
                                nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis)))
                : Optional.empty();
    }
}
