package org.sesamedeck.gateway;

/**
 * The right of one process to act on one subject of a duty.
 *
 * @param holder name of the process
 * @param fencingNumber number that no other right on the subject has, and that every later one
 *     exceeds
 */
public record DutyRight(String holder, long fencingNumber) {}
