package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.util.Set;
import java.util.function.Predicate;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Settings;
import org.sesamedeck.gateway.Duty;
import org.sesamedeck.gateway.DutyClient;
import org.sesamedeck.gateway.DutyHolder;
import org.sesamedeck.gateway.DutyRight;
import org.sesamedeck.gateway.DutySettings;
import org.sesamedeck.gateway.MetricsText;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.Timers;
import org.sesamedeck.request.UsageObserver;

/**
 * The duties of the fleet as one process performs them: takes part in deciding who holds them,
 * counts usage and, as the holder, reports it. Confined to the control thread except for the
 * observer and the metrics.
 */
public final class DutyService {
    /** A datagram may be lost, and the others need to know of a new holder soon. */
    private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofMillis(700);

    /** Reports leave at least three quarters of the platform's rate to the other duties. */
    private static final double RATE_FRACTION = 0.25;

    private final Timers mTimers;
    private final StoreDutyHolder mHolder;
    private final DutyClient mClient;
    private final UsageCounts mCounts;
    private final UsageLedger mLedger;
    private final UsageReporter mReporter;
    private final UsageExchange mExchange;
    private final Duration mCheckInterval;
    private final Duration mHandoverTime;
    private final boolean mReportsUsage;

    /**
     * What a process needs for the duties.
     *
     * @param timers timers on the control thread
     * @param duties the duties that the platform asks for
     * @param incarnation random number that identifies this run of the process
     */
    public record Environment(
            Clock clock,
            Timers timers,
            ObjectStore store,
            DutyTransport transport,
            DecisionLog log,
            Set<Duty> duties,
            String name,
            long incarnation) {}

    /** Creates the client of the platform's API of duties. */
    public interface ClientFactory {
        /**
         * Returns a client.
         *
         * @param isUsable whether a call may still be sent on a right
         * @param timeout time after which a call is abandoned
         */
        DutyClient create(Predicate<DutyRight> isUsable, Duration timeout);
    }

    private DutyService(
            Environment environment,
            DutyTiming timing,
            UsageSchedule schedule,
            ClientFactory clients) {
        Clock clock = environment.clock();
        mTimers = environment.timers();
        mCheckInterval = schedule.checkInterval();
        mHandoverTime = schedule.handoverTime();
        mReportsUsage = environment.duties().contains(Duty.USAGE);
        mHolder =
                StoreDutyHolder.create(
                        clock,
                        environment.store(),
                        mTimers,
                        environment.log(),
                        timing,
                        environment.name(),
                        environment.incarnation());
        mClient = clients.create(mHolder::isUsable, timing.callTimeout());
        FleetTime time = FleetTime.create(clock);
        mCounts = UsageCounts.create(time, schedule.window());
        mLedger = new UsageLedger();
        mReporter =
                new UsageReporter(
                        clock, time, mHolder, mClient, environment.log(), schedule, mLedger);
        mExchange =
                new UsageExchange(
                        environment, time, mCounts, mLedger, mHolder, mReporter, schedule);
        mHolder.onTakeover(this::taken);
    }

    /** Returns a service with the times in the settings. */
    public static DutyService create(
            Environment environment, Settings settings, ClientFactory clients) {
        return create(
                environment,
                new DutyTiming(settings.get(DutySettings.LEASE)),
                new UsageSchedule(
                        settings.get(DutySettings.USAGE_WINDOW),
                        settings.get(DutySettings.USAGE_LATENESS),
                        settings.get(DutySettings.RATE) * RATE_FRACTION),
                clients);
    }

    static DutyService create(
            Environment environment,
            DutyTiming timing,
            UsageSchedule schedule,
            ClientFactory clients) {
        return new DutyService(environment, timing, schedule, clients);
    }

    /** Starts to take part. */
    public void start() {
        mHolder.start();
        mTimers.schedule(mCheckInterval, this::check);
    }

    private void check() {
        mExchange.check();
        report();
        mTimers.schedule(mCheckInterval, this::check);
    }

    private void report() {
        if (mReportsUsage) {
            mReporter.check();
        }
    }

    private void taken() {
        mReporter.taken();
        mExchange.announce();
        mTimers.schedule(ANNOUNCEMENT_INTERVAL, mExchange::announce);
        mTimers.schedule(mHandoverTime, this::report);
    }

    /** Gives the duties up for good. */
    public void stop() {
        mHolder.stop();
    }

    /** Sends what was counted, as the process ends. */
    public void flush() {
        mExchange.flush();
    }

    /** Returns the observer that counts requests; thread-safe. */
    public UsageObserver usageObserver() {
        return mReportsUsage ? mCounts : UsageObserver.NONE;
    }

    /** Returns the part that decides who holds the duties. */
    public DutyHolder holder() {
        return mHolder;
    }

    /** Returns the client of the platform's API of duties. */
    public DutyClient client() {
        return mClient;
    }

    /** Writes the metrics. */
    public void write(MetricsText text) {
        text.value("sesamedeck_duty_holder", mHolder.isHolder() ? 1 : 0);
        text.value("sesamedeck_duty_fencing_number", mHolder.fencingNumber());
        text.value("sesamedeck_usage_reports_total", mReporter.reported());
        text.value("sesamedeck_usage_reports_late_total", mReporter.late());
        text.value("sesamedeck_usage_reports_refused_total", mReporter.refused());
        text.value("sesamedeck_usage_windows_skipped_total", mReporter.skipped());
        text.value("sesamedeck_usage_counts_late_total", mLedger.late());
        text.value("sesamedeck_usage_requests_dropped_total", mCounts.dropped());
    }
}
