package org.sesamedeck.gateway;

import java.util.SortedMap;

/**
 * The usage of one window of time.
 *
 * @param window number of the window; window k begins k window lengths after the start of 1970
 * @param counts requests that began to run in the window, by client account
 */
public record UsageReport(long window, SortedMap<String, Long> counts) {}
