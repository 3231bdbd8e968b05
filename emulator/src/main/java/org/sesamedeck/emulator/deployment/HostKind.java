package org.sesamedeck.emulator.deployment;

import java.util.Locale;

/** Kind of a process of a deployment. */
public enum HostKind {
    PLATFORM,
    ENGINE,
    SERVICE,
    NODE,
    ENTRY;

    /** Returns the name of the kind in the platform's host list. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
