package org.sesamedeck.request;

import java.time.Duration;

/** Receives measurements of the prefill and decode phases of model requests. */
public interface PhaseObserver {
    /** An engine with the prefill role processed a prompt; the duration includes queueing there. */
    void promptProcessed(String service, int promptTokens, Duration duration);

    /**
     * A streamed response has completed.
     *
     * @param tokenInterval mean token interval, measured between events
     * @param tokenIntervalTarget longest mean token interval that counts as on time
     */
    void streamCompleted(String service, Duration tokenInterval, Duration tokenIntervalTarget);
}
