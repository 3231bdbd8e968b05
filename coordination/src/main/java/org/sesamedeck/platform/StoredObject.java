package org.sesamedeck.platform;

/**
 * An object as it was read.
 *
 * @param key kind and name
 * @param version version of the value; versions increase across the whole store and are never
 *     reused
 * @param value the value, at most 1 MB in UTF-8
 */
public record StoredObject(ObjectKey key, long version, String value) {}
