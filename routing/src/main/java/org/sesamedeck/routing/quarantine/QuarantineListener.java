package org.sesamedeck.routing.quarantine;

/** Receives the decisions on prompt parts. Implementations do not block. */
public interface QuarantineListener {
    /** Requests with the part are refused from now on. */
    void quarantined(QuarantinedPart part);

    /** Another endpoint has crashed under the part, so it stays quarantined for longer. */
    void renewed(QuarantinedPart part);

    /** One request with the part is sent to test whether it still crashes endpoints. */
    void tested(QuarantinedPart part);

    /**
     * Requests with the part are served again.
     *
     * @param cause why
     */
    void released(PartKey part, String cause);

    /** Returns a listener that ignores all decisions. */
    static QuarantineListener ignoring() {
        return new QuarantineListener() {
            @Override
            public void quarantined(QuarantinedPart part) {}

            @Override
            public void renewed(QuarantinedPart part) {}

            @Override
            public void tested(QuarantinedPart part) {}

            @Override
            public void released(PartKey part, String cause) {}
        };
    }
}
