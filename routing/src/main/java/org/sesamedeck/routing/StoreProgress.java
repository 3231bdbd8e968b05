package org.sesamedeck.routing;

/**
 * How far at least one process has followed one kind of objects in the store.
 *
 * @param kind kind of the objects
 * @param changedRevision revision of the last change of the kind that a process has read
 * @param confirmedAgeNanos age of the last response of the store that showed no later change, in
 *     nanoseconds
 */
public record StoreProgress(String kind, long changedRevision, long confirmedAgeNanos) {}
