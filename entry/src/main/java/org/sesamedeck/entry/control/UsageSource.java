package org.sesamedeck.entry.control;

import org.sesamedeck.wire.generated.UsageReport;

/** Supplies the fields of a usage report that the request handling counts. */
@FunctionalInterface
public interface UsageSource {
    /** Returns a report with the counts since the previous call. */
    UsageReport.Builder takeReport();
}
