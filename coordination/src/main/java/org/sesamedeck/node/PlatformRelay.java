package org.sesamedeck.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostList;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;

/**
 * Reads the accepted configuration and the host list from the platform, for as long as this node is
 * a relay of its failure domain or is starting, and publishes them to all nodes. At most one watch,
 * one read of the configuration and one of the host list are open at a time. Confined to the
 * control thread.
 *
 * <p>A watch only makes a new version arrive sooner: it may miss an event, so a watch without an
 * event does not confirm the version in force. The configuration is confirmed by a read every
 * second.
 */
public final class PlatformRelay {
    /** Object that holds the accepted configuration. */
    public static final ObjectKey ACCEPTED = ObjectKey.of("configuration", "accepted");

    private static final System.Logger LOGGER = System.getLogger(PlatformRelay.class.getName());
    private static final Duration WATCH_WAIT = Duration.ofSeconds(5);
    // Well below ConfigurationState.CONFIRMATION_LIMIT, which also covers the transit to other
    // nodes.
    private static final Duration READ_INTERVAL = Duration.ofSeconds(1);
    private static final Duration HOST_LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
    // A response that took longer may be older than a list that another relay published meanwhile.
    private static final long MAX_HOST_LIST_READ_NANOS = Duration.ofSeconds(2).toNanos();

    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final ObjectStore mStore;
    private final HostList mHostList;
    private final DocumentDissemination mDissemination;
    private final ConfigurationState mState;
    private final String mSelf;
    private final BooleanSupplier mIsNeeded;
    private boolean mIsWatching;
    private boolean mIsReading;
    private boolean mIsReadingHosts;
    private boolean mIsReachable;
    private long mStoreVersion;
    private long mAcceptedVersion;

    private PlatformRelay(
            Clock clock,
            ControlScheduler scheduler,
            ObjectStore store,
            HostList hostList,
            DocumentDissemination dissemination,
            ConfigurationState state,
            String self,
            BooleanSupplier isNeeded) {
        mClock = clock;
        mScheduler = scheduler;
        mStore = store;
        mHostList = hostList;
        mDissemination = dissemination;
        mState = state;
        mSelf = self;
        mIsNeeded = isNeeded;
    }

    /**
     * Returns a relay that reads while it is needed.
     *
     * @param self name of this node
     * @param isNeeded whether this node has to read the platform now
     */
    public static PlatformRelay create(
            Clock clock,
            ControlScheduler scheduler,
            ObjectStore store,
            HostList hostList,
            DocumentDissemination dissemination,
            ConfigurationState state,
            String self,
            BooleanSupplier isNeeded) {
        return new PlatformRelay(
                clock, scheduler, store, hostList, dissemination, state, self, isNeeded);
    }

    /** Returns whether the accepted configuration was read and no call has failed since. */
    public boolean isReachable() {
        return mIsReachable;
    }

    /** Starts the watch and the reads that are not in progress, if this node needs them. */
    public void tick() {
        if (!mIsNeeded.getAsBoolean()) {
            return;
        }
        if (!mIsWatching && mState.isRecovered()) {
            mIsWatching = true;
            watch();
        }
        if (!mIsReading) {
            mIsReading = true;
            read();
        }
        if (!mIsReadingHosts) {
            mIsReadingHosts = true;
            readHosts();
        }
    }

    private void watch() {
        mStore.watch(ACCEPTED, mStoreVersion, WATCH_WAIT)
                .whenCompleteAsync(
                        (response, failure) -> {
                            Duration delay = Duration.ofMillis(10);
                            if (failure == null) {
                                response.ifPresent(this::onAccepted);
                            } else {
                                delay = onFailure("the accepted configuration", failure);
                            }
                            mScheduler.schedule(
                                    delay,
                                    () -> {
                                        mIsWatching = false;
                                        tick();
                                    });
                        },
                        mScheduler);
    }

    private void read() {
        long sentAt = mClock.nanoTime();
        mStore.get(ACCEPTED)
                .whenCompleteAsync(
                        (response, failure) -> {
                            Duration delay = READ_INTERVAL;
                            if (failure == null) {
                                mIsReachable = true;
                                if (response.isEmpty() || onAccepted(response.get())) {
                                    mState.onPlatformRead(mAcceptedVersion, sentAt);
                                }
                            } else {
                                delay = onFailure("the accepted configuration", failure);
                            }
                            mScheduler.schedule(
                                    delay,
                                    () -> {
                                        mIsReading = false;
                                        tick();
                                    });
                        },
                        mScheduler);
    }

    /** Publishes the configuration in the object if it is newer; false when it is malformed. */
    private boolean onAccepted(StoredObject object) {
        if (object.version() <= mStoreVersion) {
            return true;
        }
        AcceptedConfiguration accepted;
        try {
            accepted = AcceptedConfiguration.parse(object.value());
        } catch (SesamedeckException malformed) {
            LOGGER.log(
                    System.Logger.Level.ERROR, "ignoring malformed object " + ACCEPTED, malformed);
            return false;
        }
        mStoreVersion = object.version();
        mAcceptedVersion = Math.max(mAcceptedVersion, accepted.version());
        if (accepted.version() > 0) {
            mDissemination.publish(accepted.toDocument());
        }
        return true;
    }

    private Duration onFailure(String description, Throwable failure) {
        SesamedeckException coded = SesamedeckException.from(failure);
        if (mIsReachable) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "cannot read {0}: {1} {2}",
                    description,
                    coded.code(),
                    coded.getMessage());
        }
        mIsReachable = false;
        return coded.retryAfter()
                .filter(wait -> wait.compareTo(RETRY_INTERVAL) > 0)
                .orElse(RETRY_INTERVAL);
    }

    private void readHosts() {
        long sentAt = mClock.nanoTime();
        long version = mDissemination.versionOf(HostListDocument.DOCUMENT_KEY);
        mHostList
                .read()
                .whenCompleteAsync(
                        (hosts, failure) -> {
                            Duration delay = HOST_LIST_INTERVAL;
                            if (failure != null) {
                                delay = onFailure("the host list", failure);
                            } else if (mClock.nanoTime() - sentAt <= MAX_HOST_LIST_READ_NANOS) {
                                tryPublishHosts(hosts, version);
                            }
                            mScheduler.schedule(
                                    delay,
                                    () -> {
                                        mIsReadingHosts = false;
                                        tick();
                                    });
                        },
                        mScheduler);
    }

    /** Publishes the list; a failure is logged so that polling for later lists continues. */
    private void tryPublishHosts(List<HostEntry> hosts, long versionBefore) {
        try {
            publishHosts(hosts, versionBefore);
        } catch (SesamedeckException failure) {
            LOGGER.log(System.Logger.Level.ERROR, "cannot disseminate the host list", failure);
        }
    }

    private void publishHosts(List<HostEntry> hosts, long versionBefore) {
        Optional<VersionedDocument> current = mDissemination.get(HostListDocument.DOCUMENT_KEY);
        long version = current.map(VersionedDocument::version).orElse(0L);
        if (version != versionBefore) {
            // The version that arrived during the read may be newer than the response.
            return;
        }
        HostListDocument document = new HostListDocument(hosts);
        if (current.isEmpty() || !HostListDocument.parse(current.get()).equals(document)) {
            mDissemination.publish(
                    document.toDocument(HostListDocument.nextVersion(version, mSelf)));
        }
    }
}
