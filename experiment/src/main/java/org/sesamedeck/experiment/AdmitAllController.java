package org.sesamedeck.experiment;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.AdmissionTicket;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.UsageSnapshot;

/** Baseline admission that admits every request immediately. */
final class AdmitAllController implements AdmissionController {
    private AdmitAllController() {}

    static AdmitAllController create() {
        return new AdmitAllController();
    }

    @Override
    public CompletableFuture<AdmissionTicket> submit(RequestProfile profile) {
        return CompletableFuture.completedFuture(
                new AdmissionTicket() {
                    @Override
                    public void correct(long promptTokens, long outputTokens) {
                        // No usage is charged.
                    }

                    @Override
                    public void close() {
                        // No resource is held.
                    }
                });
    }

    @Override
    public void updateConfiguration(Configuration configuration) {
        // Plans are ignored.
    }

    @Override
    public void updateTotals(UsageSnapshot totals, int entries) {
        // Shares are ignored.
    }

    @Override
    public UsageSnapshot takeUsage() {
        return new UsageSnapshot(1, Map.of());
    }
}
