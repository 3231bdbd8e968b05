package org.sesamedeck.routing;

/** Ticket of {@link DefaultAdmissionController}, which guards its state with its own lock. */
final class AdmittedTicket implements AdmissionTicket {
    private final DefaultAdmissionController mController;
    private final RequestProfile mProfile;
    private final PoolState mPool;
    private final PlanAccount mAccount;
    private final double mUnstartedMicros;
    private final long mReleaseAtNanos;
    private double mChargedMicros;
    private long mChargedTokens;
    private boolean mIsUnstarted;
    private boolean mIsClosed;

    AdmittedTicket(
            DefaultAdmissionController controller,
            WaitingRequest request,
            PlanAccount account,
            double chargedMicros,
            double unstartedMicros,
            long releaseAtNanos) {
        mController = controller;
        mProfile = request.profile();
        mPool = request.pool();
        mAccount = account;
        mChargedMicros = chargedMicros;
        mChargedTokens = mProfile.promptTokens() + mProfile.expectedOutputTokens();
        mUnstartedMicros = unstartedMicros;
        mIsUnstarted = unstartedMicros > 0;
        mReleaseAtNanos = releaseAtNanos;
    }

    RequestProfile profile() {
        return mProfile;
    }

    PoolState pool() {
        return mPool;
    }

    PlanAccount account() {
        return mAccount;
    }

    /** Returns the engine time of the prompt, in microseconds; 0 for plain services. */
    double unstartedMicros() {
        return mUnstartedMicros;
    }

    /** Returns when the prompt's capacity is freed if no start is reported, in nanoseconds. */
    long releaseAtNanos() {
        return mReleaseAtNanos;
    }

    /** Marks the ticket as started and returns whether its prompt still took capacity until now. */
    boolean markStarted() {
        boolean wasUnstarted = mIsUnstarted;
        mIsUnstarted = false;
        return wasUnstarted;
    }

    /** Sets the charge and returns by how much it grew, in microseconds. */
    double updateCharge(double micros) {
        double difference = micros - mChargedMicros;
        mChargedMicros = micros;
        return difference;
    }

    /** Sets the charged tokens and returns by how many they grew. */
    long updateChargedTokens(long tokens) {
        long difference = tokens - mChargedTokens;
        mChargedTokens = tokens;
        return difference;
    }

    /** Marks the ticket as closed and returns whether it was open until now. */
    boolean markClosed() {
        boolean wasOpen = !mIsClosed;
        mIsClosed = true;
        return wasOpen;
    }

    @Override
    public void correct(long promptTokens, long outputTokens) {
        mController.correct(this, promptTokens, outputTokens);
    }

    @Override
    public void started() {
        mController.started(this);
    }

    @Override
    public void close() {
        mController.close(this);
    }
}
