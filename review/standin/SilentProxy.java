import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy whose open connections can go silent for good, while new ones work. */
final class SilentProxy {
    private final ServerSocket mListener = new ServerSocket();
    private final int mTarget;
    private final Set<Connection> mOpen = ConcurrentHashMap.newKeySet();

    private static final class Connection {
        private volatile boolean mIsSilent;
    }

    SilentProxy(int target) throws IOException {
        mTarget = target;
        mListener.bind(new InetSocketAddress(Http.LOOPBACK, 0), 256);
        Lab.daemon(this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    /** Silences all connections that are open now; returns their number. */
    int silence() {
        int count = 0;
        for (Connection connection : mOpen) {
            connection.mIsSilent = true;
            count++;
        }
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = mListener.accept();
                Socket far = new Socket();
                far.connect(new InetSocketAddress(Http.LOOPBACK, mTarget), 1_000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Connection connection = new Connection();
                mOpen.add(connection);
                Lab.daemon(() -> pump(near, far, connection));
                Lab.daemon(() -> pump(far, near, connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Copies bytes; a silent connection swallows them, and its ends hear of nothing. */
    private void pump(Socket from, Socket to, Connection connection) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!connection.mIsSilent) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
        } catch (IOException reset) {
            // Ends below.
        }
        if (!connection.mIsSilent) {
            mOpen.remove(connection);
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }
}
