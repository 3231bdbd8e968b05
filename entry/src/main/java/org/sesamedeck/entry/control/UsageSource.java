package org.sesamedeck.entry.control;

import org.sesamedeck.wire.generated.UsageReport;

/** Supplies the fields of a usage report that are counted where callers are served. */
@FunctionalInterface
public interface UsageSource {
    /** Returns a report with the counts since the previous call. */
    UsageReport.Builder takeReport();
}
