package org.sesamedeck.operator;

import org.sesamedeck.core.HostAddress;

/** Reads pages of the status server of a gateway process. */
interface StatusPageReader {
    /** Status and text of a response. */
    record Page(int status, String text) {}

    /**
     * Reads a page.
     *
     * @throws org.sesamedeck.core.SesamedeckException with UNAVAILABLE when there is no response
     */
    Page read(HostAddress gateway, String pathAndQuery);
}
