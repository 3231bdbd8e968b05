package org.sesamedeck.emulator.response;

/**
 * Response of the emulated services, a pure function of the call, so that the load test tool can
 * check it.
 */
public final class ServiceResponse {
    private ServiceResponse() {}

    /** Returns the result of a call with this method, path and body. */
    public static String result(String method, String path, String body) {
        return String.format("%016x", ResponseText.hash(method + " " + path + "\n" + body));
    }
}
