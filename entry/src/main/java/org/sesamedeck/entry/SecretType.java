package org.sesamedeck.entry;

import java.util.Optional;
import org.sesamedeck.core.SettingType;

/**
 * Setting type of a secret with a minimum length.
 *
 * @param minLength minimum number of characters
 */
record SecretType(int minLength) implements SettingType<String> {
    @Override
    public String allowed() {
        return "a secret of at least " + minLength + " characters";
    }

    @Override
    public Optional<String> parse(String text) {
        return text.length() >= minLength ? Optional.of(text) : Optional.empty();
    }
}
