package org.sesamedeck.emulator.load;

/** Kinds of requests in the mix of a load test. */
public enum LoadTestRequestKind {
    /** Long prompt, short output. */
    FULL_LOG(800, 2400, 6, 20),
    /** Short prompt, long output. */
    SUMMARY(40, 160, 120, 320),
    /** Short prompt, output of one to four tokens. */
    ONE_STEP(60, 200, 1, 4),
    /** Call of a plain service. */
    SERVICE(0, 0, 0, 0);

    private final int mMinPromptTokens;
    private final int mMaxPromptTokens;
    private final int mMinOutputTokens;
    private final int mMaxOutputTokens;

    LoadTestRequestKind(
            int minPromptTokens, int maxPromptTokens, int minOutputTokens, int maxOutputTokens) {
        mMinPromptTokens = minPromptTokens;
        mMaxPromptTokens = maxPromptTokens;
        mMinOutputTokens = minOutputTokens;
        mMaxOutputTokens = maxOutputTokens;
    }

    int promptTokens(double position) {
        return interpolate(mMinPromptTokens, mMaxPromptTokens, position);
    }

    int outputTokens(double position) {
        return interpolate(mMinOutputTokens, mMaxOutputTokens, position);
    }

    private static int interpolate(int min, int max, double position) {
        return min + (int) (position * (max - min + 1));
    }
}
