package org.sesamedeck.routing;

/**
 * How much longer work takes at one endpoint than at the endpoints of its service and role on
 * average. Not thread-safe.
 */
interface SpeedEstimate {
    /** Creates the estimate of an endpoint that nothing is known of. */
    interface Factory {
        /** Returns a new estimate. */
        SpeedEstimate create();
    }

    /**
     * Learns from work that did not wait at the endpoint.
     *
     * @param ratio time that it took, relative to the expected time at an average endpoint
     * @param weight 1 for a request, less for a part of one
     * @param pace current pace of the endpoint's host while it took so long
     */
    void learn(double ratio, double weight, double pace);

    /**
     * Records the pace that the endpoint reported.
     *
     * @param pace time that work takes at this moment relative to usual
     * @param observedAtNanos monotonic time of the report, in nanoseconds
     */
    void paceReported(double pace, long observedAtNanos);

    /** Returns the expected current pace of the endpoint's host; 1 is usual. */
    double pace();

    /** Returns the expected time of work sent now, relative to an average endpoint. */
    double factor();
}
