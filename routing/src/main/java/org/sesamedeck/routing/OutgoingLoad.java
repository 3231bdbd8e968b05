package org.sesamedeck.routing;

import java.util.List;

/**
 * A message that is to be sent.
 *
 * @param message content
 * @param recipients names of the receiving processes
 */
public record OutgoingLoad(LoadMessage message, List<String> recipients) {}
