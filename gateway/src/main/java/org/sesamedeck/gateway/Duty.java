package org.sesamedeck.gateway;

/** A duty of the fleet that one process at a time performs towards the platform. */
public enum Duty {
    /** Reports of the usage of client accounts. */
    USAGE,

    /** Orders for servers. */
    SERVERS
}
