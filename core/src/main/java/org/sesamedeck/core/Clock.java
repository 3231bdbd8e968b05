package org.sesamedeck.core;

import java.time.Instant;

/** Source of time. Decisions use only {@link #nanoTime()}; wall-clock time is only recorded. */
public interface Clock {
    /** Returns monotonic time in nanoseconds from an arbitrary origin of this process. */
    long nanoTime();

    /** Returns wall-clock time, for logs, status and the audit trail only. */
    Instant now();
}
