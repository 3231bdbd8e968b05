package org.sesamedeck.platform;

/** Records changes for operators. */
public interface AuditTrail {
    /** Records a change; returns at once and never fails. */
    void record(AuditEntry entry);
}
