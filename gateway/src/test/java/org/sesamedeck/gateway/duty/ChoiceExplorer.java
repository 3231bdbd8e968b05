package org.sesamedeck.gateway.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs a deterministic scenario once for each sequence of its choices with a bounded number of
 * choices other than the first option, so all combinations of that many faults are met.
 */
final class ChoiceExplorer {
    private final int mMaxFaults;

    /** The choices of one run. */
    static final class Choices {
        private final int[] mPrescribed;
        private final List<Integer> mOptions = new ArrayList<>();
        private final StringBuilder mTaken = new StringBuilder();

        private Choices(int[] prescribed) {
            mPrescribed = prescribed;
        }

        /** Returns one of the options; the first one is the ordinary course. */
        <T> T choose(String what, List<T> options) {
            int place = mOptions.size();
            mOptions.add(options.size());
            int chosen = place < mPrescribed.length ? mPrescribed[place] : 0;
            if (chosen != 0) {
                mTaken.append(what).append(" -> ").append(options.get(chosen)).append("; ");
            }
            return options.get(chosen);
        }

        @Override
        public String toString() {
            return mTaken.toString();
        }
    }

    ChoiceExplorer(int maxFaults) {
        mMaxFaults = maxFaults;
    }

    /** Runs the scenario and returns the number of runs. */
    int explore(Consumer<Choices> scenario) {
        Deque<int[]> open = new ArrayDeque<>();
        open.push(new int[0]);
        int runs = 0;
        while (!open.isEmpty()) {
            int[] prescribed = open.pop();
            Choices choices = new Choices(prescribed);
            scenario.accept(choices);
            runs++;
            long faults = Arrays.stream(prescribed).filter(choice -> choice != 0).count();
            if (faults < mMaxFaults) {
                for (int place = prescribed.length; place < choices.mOptions.size(); place++) {
                    for (int option = 1; option < choices.mOptions.get(place); option++) {
                        int[] next = Arrays.copyOf(prescribed, place + 1);
                        next[place] = option;
                        open.push(next);
                    }
                }
            }
        }
        return runs;
    }
}
