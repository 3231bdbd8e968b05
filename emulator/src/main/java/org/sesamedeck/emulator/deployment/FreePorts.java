package org.sesamedeck.emulator.deployment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds ports that no process listens on. */
public final class FreePorts {
    private FreePorts() {}

    /**
     * Returns distinct ports that were free at the time of the call. Another process can still bind
     * one of them before it is used.
     */
    public static List<Integer> find(String address, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket();
                sockets.add(socket);
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
                ports.add(socket.getLocalPort());
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return ports;
    }
}
