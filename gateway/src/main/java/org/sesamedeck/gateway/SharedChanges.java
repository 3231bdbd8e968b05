package org.sesamedeck.gateway;

/**
 * Changes of one kind of objects that a process has read from the store and passes on.
 *
 * @param sender process that sent them here
 * @param kind kind of the objects
 * @param baseRevision revision of the last change before these
 * @param revision revision of the last one of these changes
 * @param source the changes in the format of the store
 */
record SharedChanges(String sender, String kind, long baseRevision, long revision, byte[] source) {}
