package org.sesamedeck.platform;

/**
 * Key and version of an object.
 *
 * @param key kind and name
 * @param version version of the object
 */
public record StoredVersion(ObjectKey key, long version) {}
