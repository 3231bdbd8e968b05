package org.sesamedeck.core;

import java.net.InetSocketAddress;

/**
 * An IP address and a port.
 *
 * @param address numeric address; IPv6 addresses are in brackets
 * @param port 1 to 65535
 */
public record HostAddress(String address, int port) {
    /** Returns an address with the given parts, without validation. */
    public static HostAddress of(String address, int port) {
        return new HostAddress(address, port);
    }

    /** Returns the socket address; no name is looked up, since the address is numeric. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(address, port);
    }

    /** Returns the HTTP base URL of this address, without a trailing slash. */
    public String toHttpBase() {
        return "http://" + this;
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }
}
