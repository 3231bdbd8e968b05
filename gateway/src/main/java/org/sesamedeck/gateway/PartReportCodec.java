package org.sesamedeck.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.routing.quarantine.PartKey;
import org.sesamedeck.routing.quarantine.PartReport;
import org.sesamedeck.routing.quarantine.PartReport.Kind;
import org.sesamedeck.wire.generated.LoadShare;
import org.sesamedeck.wire.generated.PartReportShare;
import org.sesamedeck.wire.generated.WireLoadScope;

/**
 * Translates reports on prompt parts between the routing module and datagrams. The processes have
 * no common clock, so a report carries its age, to which the time in transit adds little.
 */
final class PartReportCodec {
    /** Older reports concern no decision; a false age must not reach far into the past. */
    private static final Duration MAX_AGE = Duration.ofHours(1);

    /** No deployment has deeper prompts; a false depth must not decide. */
    private static final int MAX_DEPTH = 64;

    private PartReportCodec() {}

    static byte[] encode(String node, List<PartReport> reports, long nowNanos) {
        LoadShare.Builder message =
                LoadShare.newBuilder().setNode(node).setScope(WireLoadScope.LOAD_SCOPE_NONE);
        for (PartReport report : reports) {
            long ageNanos = Math.max(0, nowNanos - report.atNanos());
            message.addPartReports(
                    PartReportShare.newBuilder()
                            .setTarget(report.part().targetHash())
                            .setPart(report.part().identifier())
                            .setDepth(report.depth())
                            .setEndpoint(report.endpoint())
                            .setReporter(report.reporter())
                            .setAnswerBegun(report.kind() == Kind.ANSWER_INTERRUPTED)
                            .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(ageNanos)));
        }
        return message.build().toByteArray();
    }

    /** Returns the reports in a datagram; empty for other messages and for unrelated bytes. */
    static List<PartReport> decode(byte[] bytes, long nowNanos) {
        LoadShare message;
        try {
            message = LoadShare.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            return List.of();
        }
        List<PartReport> reports = new ArrayList<>(message.getPartReportsCount());
        for (PartReportShare share : message.getPartReportsList()) {
            boolean isAgeValid =
                    share.getAgeMillis() >= 0 && share.getAgeMillis() <= MAX_AGE.toMillis();
            if (isAgeValid && share.getDepth() >= 0 && share.getDepth() <= MAX_DEPTH) {
                reports.add(report(share, nowNanos));
            }
        }
        return reports;
    }

    private static PartReport report(PartReportShare share, long nowNanos) {
        return new PartReport(
                new PartKey(share.getTarget(), share.getPart()),
                kind(share),
                share.getDepth(),
                share.getEndpoint(),
                share.getReporter(),
                nowNanos - TimeUnit.MILLISECONDS.toNanos(share.getAgeMillis()));
    }

    private static Kind kind(PartReportShare share) {
        if (share.getEndpoint().isEmpty()) {
            return Kind.ANSWERED;
        }
        return share.getAnswerBegun() ? Kind.ANSWER_INTERRUPTED : Kind.INTERRUPTED;
    }
}
