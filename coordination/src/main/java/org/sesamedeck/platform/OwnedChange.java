package org.sesamedeck.platform;

/** A change of the state of an owned object. */
public interface OwnedChange<S> {
    /**
     * Changes the state. Called once, before the first write that contains the change.
     *
     * @param state the state with all earlier changes
     * @param baseVersion the newest version known to be durable
     */
    void apply(S state, long baseVersion);
}
