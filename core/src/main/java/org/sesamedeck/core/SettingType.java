package org.sesamedeck.core;

import java.util.Optional;

/** Parses the text of a setting into a typed value. */
public interface SettingType<T> {
    /** Returns the value, or empty when the text is not allowed. */
    Optional<T> parse(String text);

    /** Returns a short description of the allowed values, for errors and the reference. */
    String allowed();
}
