import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of a plain route: each request is one attempt with an identifier of its own. */
final class Client {
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final String RUN = UUID.randomUUID().toString().substring(0, 8);

    private Client() {}

    static String nextIdentifier() {
        return RUN + String.format("%08x", NEXT.incrementAndGet());
    }

    /** The end of an attempt; the status is 0 if the connection ended without a whole answer. */
    record Result(String identifier, long sentMillis, long endMillis, int status, String text) {}

    static Result send(Lab lab, Lab.Gateway gateway, String method, String path, int deadline) {
        String identifier = nextIdentifier();
        long sent = lab.millis();
        int status = 0;
        String text;
        try {
            Http.Message answer =
                    Http.call(
                            gateway.front,
                            deadline + 500,
                            method + " " + path,
                            new byte[0],
                            "Host",
                            Site.HOST,
                            "Sesamedeck-Request-Id",
                            identifier,
                            "Sesamedeck-Deadline-Ms",
                            String.valueOf(deadline));
            status = answer.isComplete() ? answer.status() : 0;
            text = answer.isComplete() ? "" : answer.body().length + " bytes, then the end";
        } catch (Exception failure) {
            text = String.valueOf(failure);
        }
        return new Result(identifier, sent, lab.millis(), status, text);
    }
}
