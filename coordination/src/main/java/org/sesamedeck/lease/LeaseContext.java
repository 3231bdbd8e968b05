package org.sesamedeck.lease;

import java.time.Duration;
import org.sesamedeck.core.Clock;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.ObjectStore;

/** Dependencies shared by the candidates and holders of one process. */
record LeaseContext(
        ObjectStore store, ControlScheduler scheduler, Clock clock, LeaseSettings settings) {
    /** Returns how long a holder may act, counted from before it sent its write. */
    Duration validityPeriod() {
        return settings.duration().minus(settings.safetyMargin());
    }
}
