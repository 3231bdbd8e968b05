package org.sesamedeck.caller;

import org.sesamedeck.core.HostAddress;

/**
 * Where a stream stood when an event was delivered.
 *
 * @param endpoint name of the engine
 * @param address address of the engine
 * @param streamId request identifier under which the engine knows the stream
 * @param isContinuation whether the engine started from text that another engine had produced
 * @param number number of the last event delivered
 */
record ResumeToken(
        String endpoint,
        HostAddress address,
        String streamId,
        boolean isContinuation,
        long number) {}
