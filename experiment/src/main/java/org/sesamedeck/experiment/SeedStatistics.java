package org.sesamedeck.experiment;

import java.util.Arrays;
import java.util.Locale;

/**
 * Statistics of a value over several seeds.
 *
 * @param mean mean
 * @param standardDeviation sample standard deviation
 * @param minimum smallest value
 * @param maximum largest value
 */
record SeedStatistics(double mean, double standardDeviation, double minimum, double maximum) {
    static SeedStatistics of(double[] values) {
        double mean = Arrays.stream(values).average().orElse(Double.NaN);
        double variance =
                Arrays.stream(values).map(value -> (value - mean) * (value - mean)).sum()
                        / Math.max(1, values.length - 1);
        return new SeedStatistics(
                mean,
                Math.sqrt(variance),
                Arrays.stream(values).min().orElse(Double.NaN),
                Arrays.stream(values).max().orElse(Double.NaN));
    }

    String format(int digits) {
        String number = "%." + digits + "f";
        return String.format(
                Locale.ROOT,
                number + " ± " + number + " [" + number + ", " + number + "]",
                mean,
                standardDeviation,
                minimum,
                maximum);
    }
}
