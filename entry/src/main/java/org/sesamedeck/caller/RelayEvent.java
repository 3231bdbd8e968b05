package org.sesamedeck.caller;

/**
 * One event of the stream to the caller.
 *
 * @param token resume token, sent as the event id
 * @param data data of the event
 * @param isLast whether it ends the stream
 */
record RelayEvent(String token, String data, boolean isLast) {}
