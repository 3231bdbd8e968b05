package org.sesamedeck.daemon;

import com.codahale.metrics.health.HealthCheck;

/** Reports whether the daemon accepts new work. */
final class AcceptingHealthCheck extends HealthCheck {
    private final Drainable mDrainable;

    private AcceptingHealthCheck(Drainable drainable) {
        mDrainable = drainable;
    }

    static AcceptingHealthCheck of(Drainable drainable) {
        return new AcceptingHealthCheck(drainable);
    }

    @Override
    protected Result check() {
        return mDrainable.isReady()
                ? Result.healthy()
                : Result.unhealthy(
                        "no new work is taken; %d items in progress",
                        mDrainable.workInProgress().size());
    }
}
