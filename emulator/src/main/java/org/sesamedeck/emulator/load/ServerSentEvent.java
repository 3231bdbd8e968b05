package org.sesamedeck.emulator.load;

/**
 * One server-sent event of a streamed response.
 *
 * @param id event identifier; empty if the event has none
 * @param data data, with its lines joined by line feeds
 */
record ServerSentEvent(String id, String data) {}
