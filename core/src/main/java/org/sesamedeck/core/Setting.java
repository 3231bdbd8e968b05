package org.sesamedeck.core;

import java.util.Optional;

/**
 * The declaration of one key of a settings file.
 *
 * @param section section name
 * @param key key name
 * @param type parser of the value
 * @param defaultText the text used when the key is absent; empty when the key is required
 * @param description one sentence for the settings reference
 */
public record Setting<T>(
        String section,
        String key,
        SettingType<T> type,
        Optional<String> defaultText,
        String description) {
    /** Returns a setting without a default, which a settings file must contain. */
    public static <T> Setting<T> required(
            String section, String key, SettingType<T> type, String description) {
        return new Setting<>(section, key, type, Optional.empty(), description);
    }

    /** Returns a setting with a default. */
    public static <T> Setting<T> optional(
            String section,
            String key,
            SettingType<T> type,
            String defaultText,
            String description) {
        return new Setting<>(section, key, type, Optional.of(defaultText), description);
    }
}
