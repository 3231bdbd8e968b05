package org.sesamedeck.platform;

import java.util.Optional;

/** Converts the state of an owned object to and from its stored text. */
public interface OwnedStateCodec<S> {
    /** Returns the value to store, with the owner's token and the number of changes in it. */
    String format(S state, long changes);

    /** Returns the number of changes in a value, empty when another owner wrote it. */
    Optional<Long> ownChanges(String value);
}
