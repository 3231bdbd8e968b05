package org.sesamedeck.emulator;

import org.sesamedeck.core.HostAddress;
import picocli.CommandLine;

/** Converts a command-line value of the form ADDRESS:PORT to a {@link HostAddress}. */
public final class HostAddressConverter implements CommandLine.ITypeConverter<HostAddress> {
    /** Creates a converter; called by picocli. */
    public HostAddressConverter() {}

    @Override
    public HostAddress convert(String text) {
        return parse(text);
    }

    /**
     * Parses an address of the form ADDRESS:PORT.
     *
     * @throws IllegalArgumentException if the port is missing or not a number between 0 and 65535
     */
    public static HostAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? -1 : Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > 65535) {
            throw new IllegalArgumentException("not ADDRESS:PORT: " + text);
        }
        return HostAddress.of(text.substring(0, colon), port);
    }
}
