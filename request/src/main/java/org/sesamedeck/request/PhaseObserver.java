package org.sesamedeck.request;

import java.time.Duration;

/** Learns how long the phases of model requests take. */
public interface PhaseObserver {
    /** An engine of the prefill role processed a prompt; its queue is included. */
    void promptProcessed(String service, int promptTokens, Duration took);

    /**
     * A streamed answer has ended.
     *
     * @param pause mean time between its events
     * @param pauseTarget longest pause that is on time
     */
    void streamed(String service, Duration pause, Duration pauseTarget);
}
