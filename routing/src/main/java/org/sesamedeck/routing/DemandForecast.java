package org.sesamedeck.routing;

/** Exponentially weighted mean with trend (Holt) for samples at irregular times. */
final class DemandForecast {
    private static final double LEVEL_SECONDS = 6;
    private static final double TREND_SECONDS = 40;

    private double mLevel;
    private double mTrend;
    private long mSampledAtNanos;
    private boolean mHasSample;

    /** Adds a sample; one that is not newer than the last is ignored. */
    void add(double value, long observedAtNanos) {
        if (!mHasSample) {
            mHasSample = true;
            mLevel = value;
            mSampledAtNanos = observedAtNanos;
            return;
        }
        double seconds = (observedAtNanos - mSampledAtNanos) / 1e9;
        if (seconds <= 0) {
            return;
        }
        mSampledAtNanos = observedAtNanos;
        double predicted = mLevel + mTrend * seconds;
        double levelRate = 1 - Math.exp(-seconds / LEVEL_SECONDS);
        double level = predicted + levelRate * (value - predicted);
        double trendRate = 1 - Math.exp(-seconds / TREND_SECONDS);
        mTrend += trendRate * ((level - mLevel) / seconds - mTrend);
        mLevel = level;
    }

    /** Returns the value expected after the given time, never negative. */
    double forecast(double seconds) {
        return Math.max(0, mLevel + mTrend * seconds);
    }
}
