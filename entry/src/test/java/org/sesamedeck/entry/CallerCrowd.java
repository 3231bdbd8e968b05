package org.sesamedeck.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers with a valid key on connections of their own that stay open until the crowd is closed,
 * unless the entry process closes them.
 */
final class CallerCrowd implements AutoCloseable {
    private static final int PART_BYTES = 64 * 1_024;
    private static final int PIECE_BYTES = 32;
    private static final int REQUESTS_AHEAD = 2_000;
    private static final int SLOW_MILLIS = 100;

    /** Fits in the default limit of Jetty on the size of a head, 8 KiB. */
    private static final String FIELDS = "a:\r\n".repeat(1_900);

    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final List<Thread> mThreads = new ArrayList<>();

    /** What a caller does at a path. */
    enum Kind {
        WHOLE_BODY {
            @Override
            void run(Socket socket, String path) throws IOException {
                OutputStream output = socket.getOutputStream();
                write(output, sizedHead(path));
                writeOften(output, "x", EntryProcess.BODY_LIMIT - 1);
            }
        },
        SMALL_PIECES {
            @Override
            void run(Socket socket, String path) throws IOException {
                socket.setTcpNoDelay(true);
                OutputStream output = socket.getOutputStream();
                write(output, sizedHead(path));
                byte[] piece = new byte[PIECE_BYTES];
                for (int i = 1; i < EntryProcess.BODY_LIMIT / PIECE_BYTES; i++) {
                    output.write(piece);
                }
            }
        },
        SMALL_CHUNKS {
            @Override
            void run(Socket socket, String path) throws IOException {
                OutputStream output = socket.getOutputStream();
                write(output, chunkedHead(path));
                writeOften(output, "c\r\n012345678901\r\n", EntryProcess.BODY_LIMIT / 12);
            }
        },
        OVERSIZED_BODY {
            @Override
            void run(Socket socket, String path) throws IOException {
                OutputStream output = socket.getOutputStream();
                write(output, chunkedHead(path));
                writeOften(output, "8000\r\n" + "x".repeat(0x8000) + "\r\n", 1_000);
            }
        },
        BODY_BEGUN {
            @Override
            void run(Socket socket, String path) throws IOException {
                write(socket.getOutputStream(), sizedHead(path) + "{");
            }
        },
        MANY_JSON_FIELDS {
            @Override
            void run(Socket socket, String path) throws IOException {
                String body = "{\"model\":\"house-judge\",\"x\":[";
                int values = (EntryProcess.BODY_LIMIT - body.length() - 4) / 3;
                int length = body.length() + 3 * values + 3;
                OutputStream output = socket.getOutputStream();
                for (int i = 0; i < 8; i++) {
                    String head = head("POST", path) + "Content-Length: " + length + "\r\n\r\n";
                    write(output, head + body);
                    writeOften(output, "{},", values);
                    write(output, "1]}");
                }
            }
        },
        MANY_FIELDS {
            @Override
            void run(Socket socket, String path) throws IOException {
                OutputStream output = socket.getOutputStream();
                writeOften(output, head("GET", path) + FIELDS + "\r\n", REQUESTS_AHEAD);
            }
        },
        HALF_HEAD {
            @Override
            void run(Socket socket, String path) throws IOException {
                write(socket.getOutputStream(), head("GET", path) + FIELDS);
            }
        },
        LONG_TRAILERS {
            @Override
            void run(Socket socket, String path) throws IOException {
                write(socket.getOutputStream(), chunkedHead(path) + "0\r\n" + FIELDS);
            }
        },
        REQUESTS_AHEAD_UNREAD {
            @Override
            void run(Socket socket, String path) throws IOException {
                OutputStream output = socket.getOutputStream();
                writeOften(output, head("GET", path) + "\r\n", 50 * REQUESTS_AHEAD);
            }
        },
        SLOW_SENDERS {
            @Override
            void run(Socket socket, String path) throws IOException {
                socket.setTcpNoDelay(true);
                OutputStream output = socket.getOutputStream();
                write(output, sizedHead(path));
                while (!socket.isClosed()) {
                    output.write('x');
                    pause();
                }
            }
        },
        SLOW_HEADS {
            @Override
            void run(Socket socket, String path) throws IOException {
                socket.setTcpNoDelay(true);
                OutputStream output = socket.getOutputStream();
                write(output, head("GET", path) + "a: ");
                while (!socket.isClosed()) {
                    output.write('x');
                    pause();
                }
            }
        },
        SLOW_READERS {
            @Override
            void run(Socket socket, String path) throws IOException {
                OutputStream output = socket.getOutputStream();
                writeOften(output, head("GET", path) + "\r\n", 16);
                while (socket.getInputStream().read() >= 0) {
                    pause();
                }
            }
        },
        UNREAD_STREAMS {
            @Override
            void run(Socket socket, String path) throws IOException {
                String body = EntryFixture.chatBody(true);
                String head = head("POST", path) + "Content-Length: " + body.length();
                writeOften(socket.getOutputStream(), head + "\r\n\r\n" + body, REQUESTS_AHEAD);
            }
        },
        SILENT {
            @Override
            void run(Socket socket, String path) {}
        };

        abstract void run(Socket socket, String path) throws IOException;
    }

    /** A place where callers come in. */
    record Door(int port, String path) {}

    private CallerCrowd() {}

    /** Starts a crowd of one kind at each of the doors. */
    static CallerCrowd of(Kind kind, int callersPerDoor, List<Door> doors) {
        CallerCrowd crowd = new CallerCrowd();
        for (int i = 0; i < callersPerDoor; i++) {
            for (Door door : doors) {
                crowd.add(kind, door);
            }
        }
        return crowd;
    }

    private void add(Kind kind, Door door) {
        Thread thread = new Thread(() -> run(kind, door));
        thread.setDaemon(true);
        mThreads.add(thread);
        thread.start();
    }

    private void run(Kind kind, Door door) {
        Socket socket = new Socket();
        mSockets.add(socket);
        try {
            socket.setReceiveBufferSize(PART_BYTES);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), door.port()));
            kind.run(socket, door.path());
        } catch (IOException closed) {
            // The entry process may refuse the caller or close the connection.
        }
    }

    private static String head(String method, String path) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
                + FakeControl.API_KEY
                + "\r\n";
    }

    private static String sizedHead(String path) {
        return head("POST", path) + "Content-Length: " + EntryProcess.BODY_LIMIT + "\r\n\r\n";
    }

    private static String chunkedHead(String path) {
        return head("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Repeats the text in parts of many repetitions. */
    private static void writeOften(OutputStream output, String text, int times) throws IOException {
        int perPart = Math.max(1, PART_BYTES / text.length());
        byte[] part = text.repeat(perPart).getBytes(StandardCharsets.ISO_8859_1);
        int remaining = times;
        for (; remaining >= perPart; remaining -= perPart) {
            output.write(part);
        }
        write(output, text.repeat(remaining));
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(SLOW_MILLIS);
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    /** Waits until all callers have sent what they have, or cannot send more within the time. */
    void awaitSent(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        for (Thread thread : mThreads) {
            thread.join(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
