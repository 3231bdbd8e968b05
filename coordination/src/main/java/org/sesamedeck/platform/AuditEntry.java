package org.sesamedeck.platform;

/**
 * One change for the audit trail.
 *
 * @param number identifies the entry together with the day; unique over all changes, for example a
 *     command identifier or the version that the change produced
 * @param actor node that made the change
 * @param cause person or component that requested the change
 * @param object the object changed
 * @param oldValue value before the change, empty when there was none
 * @param newValue value after the change
 * @param fencingNumber fencing number under which the change was made
 */
public record AuditEntry(
        String number,
        String actor,
        String cause,
        String object,
        String oldValue,
        String newValue,
        long fencingNumber) {}
