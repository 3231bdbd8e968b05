package org.sesamedeck.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.sesamedeck.core.Plan;
import org.sesamedeck.routing.EndpointRole;

/** Writes plots of the runs with seed 1: goodput, work mix, roles and shares over time. */
final class PlotWriter {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 320;
    private static final int BIN_SECONDS = 10;
    private static final int SHARE_WINDOW_SECONDS = 30;

    private final Path mDirectory;

    private PlotWriter(Path directory) {
        mDirectory = directory;
    }

    static PlotWriter of(Path directory) {
        return new PlotWriter(directory);
    }

    /** Writes the plots and returns their file names. */
    List<String> write(RunSet set) throws IOException {
        List<String> files = new ArrayList<>();
        files.add(write(set, "goodput", "good requests/s, by arrival", goodput(set)));
        files.add(write(set, "mix", "prefill part of the work", prefillFraction(set)));
        for (Policy policy : List.of(Policy.REACTIVE, Policy.GOODPUT, Policy.FEW_CHANGES)) {
            String suffix = policy.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
            files.add(
                    write(
                            set,
                            "roles-" + suffix,
                            "engines, " + policy.title(),
                            roles(set.firstSeedMetrics(policy))));
        }
        files.add(
                write(
                        set,
                        "shares",
                        "part of the work over 30 s, " + Policy.GOODPUT.title(),
                        shares(set, set.firstSeedMetrics(Policy.GOODPUT))));
        return files;
    }

    private String write(RunSet set, String name, String axis, XYSeriesCollection data)
            throws IOException {
        String file = set.kind() + "-" + set.workload() + "-" + name + ".png";
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        set.kind() + ", " + set.workload() + ", seed 1",
                        "seconds",
                        axis,
                        data,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        ChartUtils.saveChartAsPNG(mDirectory.resolve(file).toFile(), chart, WIDTH, HEIGHT);
        return file;
    }

    private static XYSeriesCollection goodput(RunSet set) {
        XYSeriesCollection data = new XYSeriesCollection();
        int end = (int) set.firstSeedTrace().seconds();
        XYSeries demand = new XYSeries("demand");
        int[] arrivals = new int[end];
        set.firstSeedTrace()
                .requests()
                .forEach(request -> arrivals[(int) (request.arrivalNanos() / 1_000_000_000L)]++);
        addBins(demand, arrivals, end);
        data.addSeries(demand);
        for (Policy policy : Policy.values()) {
            XYSeries series = new XYSeries(policy.title());
            addBins(series, set.firstSeedMetrics(policy).goodBySecond(), end);
            data.addSeries(series);
        }
        return data;
    }

    private static void addBins(XYSeries series, int[] counts, int end) {
        for (int start = 0; start + BIN_SECONDS <= end; start += BIN_SECONDS) {
            double sum = 0;
            for (int i = start; i < start + BIN_SECONDS; i++) {
                sum += counts[i];
            }
            series.add(start + BIN_SECONDS / 2.0, sum / BIN_SECONDS);
        }
    }

    private static XYSeriesCollection prefillFraction(RunSet set) {
        List<RunMetrics.Sample> samples = set.firstSeedMetrics(Policy.GOODPUT).samples();
        return new XYSeriesCollection(
                series("prefill part", samples, BIN_SECONDS, RunMetrics.Sample::prefillFraction));
    }

    private static XYSeriesCollection roles(RunMetrics metrics) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (EndpointRole role : EndpointRole.values()) {
            data.addSeries(
                    series(
                            role.name().toLowerCase(java.util.Locale.ROOT),
                            metrics.samples(),
                            1,
                            sample -> sample.count(role)));
        }
        return data;
    }

    private static XYSeriesCollection shares(RunSet set, RunMetrics metrics) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (Plan plan : set.workload().plans()) {
            XYSeries series = new XYSeries(plan.name() + ", share " + plan.share());
            List<RunMetrics.Sample> samples = metrics.samples();
            int end = (int) set.firstSeedTrace().seconds();
            for (int start = 0; start + SHARE_WINDOW_SECONDS <= end; start += BIN_SECONDS) {
                double planWork = 0;
                double totalWork = 0;
                for (int i = start; i < start + SHARE_WINDOW_SECONDS; i++) {
                    planWork += samples.get(i).workByPlan().getOrDefault(plan.name(), 0.0);
                    totalWork +=
                            samples.get(i).workByPlan().values().stream()
                                    .mapToDouble(Double::doubleValue)
                                    .sum();
                }
                series.add(
                        start + SHARE_WINDOW_SECONDS / 2.0,
                        totalWork == 0 ? 0 : 100 * planWork / totalWork);
            }
            data.addSeries(series);
        }
        return data;
    }

    private static XYSeries series(
            String name,
            List<RunMetrics.Sample> samples,
            int binSeconds,
            ToDoubleFunction<RunMetrics.Sample> value) {
        XYSeries series = new XYSeries(name);
        int end = Math.min(samples.size(), (int) TraceKind.DURATION_SECONDS);
        for (int start = 0; start + binSeconds <= end; start += binSeconds) {
            series.add(
                    start + binSeconds / 2.0,
                    samples.subList(start, start + binSeconds).stream()
                            .mapToDouble(value)
                            .average()
                            .orElse(0));
        }
        return series;
    }
}
