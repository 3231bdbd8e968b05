package org.sesamedeck.core;

/**
 * One value that differs between two versions of a list.
 *
 * @param list name of the list
 * @param section section that contains the value
 * @param key key of the value
 * @param before value before; empty when it was absent
 * @param after value after; empty when it is absent
 */
public record ListChange(String list, String section, String key, String before, String after) {}
