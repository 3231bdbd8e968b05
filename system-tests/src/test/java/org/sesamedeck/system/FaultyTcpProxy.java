package org.sesamedeck.system;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sesamedeck.core.HostAddress;

/**
 * A TCP proxy that injects network faults. It forwards each accepted connection to a target and can
 * drop the data of one or both directions, delay it, or disconnect.
 */
final class FaultyTcpProxy implements AutoCloseable {
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    private final HostAddress mTarget;
    private final ServerSocket mServer;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean mDropsRequests;
    private volatile boolean mDropsResponses;
    private volatile boolean mIsDisconnected;
    private volatile long mDelayMillis;

    private FaultyTcpProxy(HostAddress target, ServerSocket server) {
        mTarget = target;
        mServer = server;
    }

    /** Starts a proxy that listens on a free port of the loopback address. */
    static FaultyTcpProxy to(HostAddress target) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        FaultyTcpProxy proxy = new FaultyTcpProxy(target, server);
        proxy.startThread("link-accept", proxy::accept);
        return proxy;
    }

    HostAddress address() {
        return HostAddress.of("127.0.0.1", mServer.getLocalPort());
    }

    /**
     * Sets whether the bytes sent to the target (requests) and to the client (responses) are
     * dropped.
     */
    void dropData(boolean requests, boolean responses) {
        mDropsRequests = requests;
        mDropsResponses = responses;
    }

    /** Delays each chunk in both directions. */
    void delay(long millis) {
        mDelayMillis = millis;
    }

    /** Closes all connections and each new one until called with false. */
    void setDisconnected(boolean isDisconnected) {
        mIsDisconnected = isDisconnected;
        if (isDisconnected) {
            mSockets.forEach(FaultyTcpProxy::closeQuietly);
        }
    }

    /** Ends all faults and closes the connections whose data was dropped, as they are unusable. */
    void endFaults() {
        boolean hasDroppedData = mDropsRequests || mDropsResponses;
        dropData(false, false);
        delay(0);
        if (hasDroppedData) {
            setDisconnected(true);
        }
        setDisconnected(false);
    }

    private void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket client = mServer.accept();
                mSockets.add(client);
                startThread("link", () -> connect(client));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        Socket target = new Socket();
        mSockets.add(target);
        try {
            if (mIsDisconnected) {
                throw new IOException("the proxy is disconnected");
            }
            target.connect(mTarget.toSocketAddress(), CONNECT_TIMEOUT_MILLIS);
        } catch (IOException unreachable) {
            close(client, target);
            return;
        }
        startThread("link-answers", () -> forward(target, client, false));
        forward(client, target, true);
    }

    private void forward(Socket from, Socket to, boolean isRequest) {
        byte[] chunk = new byte[CHUNK_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(chunk); count >= 0; count = input.read(chunk)) {
                if (mDelayMillis > 0) {
                    Thread.sleep(mDelayMillis);
                }
                boolean isDropped = isRequest ? mDropsRequests : mDropsResponses;
                if (!isDropped) {
                    output.write(chunk, 0, count);
                }
            }
        } catch (IOException closed) {
            // Both sockets are closed below.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        close(from, to);
    }

    private void close(Socket first, Socket second) {
        closeQuietly(first);
        closeQuietly(second);
        mSockets.remove(first);
        mSockets.remove(second);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException alreadyGone) {
            // The socket needs no further action.
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mSockets.forEach(FaultyTcpProxy::closeQuietly);
    }
}
