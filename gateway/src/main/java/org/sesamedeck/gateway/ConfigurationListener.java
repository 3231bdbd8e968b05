package org.sesamedeck.gateway;

import java.util.List;
import java.util.function.Consumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.ServingConfiguration;

/**
 * Passes valid configurations on; a malformed or deleted one leaves the current configuration in
 * force.
 */
final class ConfigurationListener implements FeedFollower.Listener<ServingConfiguration> {
    private final Clock mClock;
    private final DecisionLog mLog;
    private final Consumer<ServingConfiguration> mConsumer;

    ConfigurationListener(Clock clock, DecisionLog log, Consumer<ServingConfiguration> consumer) {
        mClock = clock;
        mLog = log;
        mConsumer = consumer;
    }

    @Override
    public void listed(List<Feed.Item<ServingConfiguration>> items) {
        changed(items);
    }

    @Override
    public void changed(List<Feed.Item<ServingConfiguration>> items) {
        for (Feed.Item<ServingConfiguration> item : items) {
            if (item.value().isPresent()) {
                mConsumer.accept(item.value().get());
            } else {
                mLog.record(
                        LogEntry.of(Decision.ENTRY_UNREADABLE, mClock.nanoTime())
                                .with("configuration", item.name())
                                .with("isGone", item.isDeleted()));
            }
        }
    }

    @Override
    public void storeUnavailable() {}

    @Override
    public void storeRecovered() {}
}
