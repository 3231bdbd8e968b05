package org.sesamedeck.emulator.platform;

/**
 * Value of an object with its version.
 *
 * @param version version, increasing over all objects of the store
 * @param value value as written
 */
record VersionedValue(long version, String value) {}
