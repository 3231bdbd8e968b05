package org.sesamedeck.entry;

import org.sesamedeck.routing.quarantine.PartKey;
import org.sesamedeck.routing.quarantine.QuarantineListener;
import org.sesamedeck.routing.quarantine.QuarantinedPart;

/** Logs the decisions on messages under which engines crash. */
final class QuarantineLogger implements QuarantineListener {
    private static final System.Logger LOGGER = System.getLogger(QuarantineLogger.class.getName());

    @Override
    public void quarantined(QuarantinedPart part) {
        log("quarantined", part);
    }

    @Override
    public void renewed(QuarantinedPart part) {
        log("quarantined for longer", part);
    }

    @Override
    public void tested(QuarantinedPart part) {
        log("tested", part);
    }

    @Override
    public void released(PartKey part, String cause) {
        LOGGER.log(
                System.Logger.Level.WARNING,
                "message {0} is released: {1}",
                part.partName(),
                cause);
    }

    private static void log(String decision, QuarantinedPart part) {
        LOGGER.log(
                System.Logger.Level.WARNING,
                "message {0} is {1}: engines {2} crashed under it, next test in {3} ms",
                part.part().partName(),
                decision,
                part.endpoints(),
                part.retryAfter().toMillis());
    }
}
