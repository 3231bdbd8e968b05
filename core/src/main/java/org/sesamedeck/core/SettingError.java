package org.sesamedeck.core;

/**
 * One error in an INI text.
 *
 * @param source file name or other origin of the text
 * @param section section name, empty when the error is outside any section
 * @param key key name, empty when the error concerns the whole section
 * @param value the value found, empty when it is absent
 * @param allowed description of the allowed values
 */
public record SettingError(
        String source, String section, String key, String value, String allowed) {
    /** Returns an error with the given parts. */
    public static SettingError of(
            String source, String section, String key, String value, String allowed) {
        return new SettingError(source, section, key, value, allowed);
    }

    @Override
    public String toString() {
        return String.format(
                "%s: [%s] %s = \"%s\": allowed is %s", source, section, key, value, allowed);
    }
}
