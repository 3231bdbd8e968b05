package org.sesamedeck.emulator.deployment;

import java.util.LinkedHashMap;
import java.util.Map;

/** In-memory settings file: sections of keys and values. Not thread-safe. */
final class SettingsFile {
    private final Map<String, Map<String, String>> mSections = new LinkedHashMap<>();

    private SettingsFile() {}

    static SettingsFile create() {
        return new SettingsFile();
    }

    SettingsFile set(String section, String key, Object value) {
        mSections
                .computeIfAbsent(section, absent -> new LinkedHashMap<>())
                .put(key, String.valueOf(value));
        return this;
    }

    /** Overwrites values with all values of another file; null changes nothing. */
    SettingsFile merge(SettingsFile other) {
        if (other != null) {
            other.mSections.forEach(
                    (section, values) -> values.forEach((key, value) -> set(section, key, value)));
        }
        return this;
    }

    /** Returns the settings in INI format. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        mSections.forEach(
                (section, values) -> {
                    text.append('[').append(section).append("]\n");
                    values.forEach(
                            (key, value) ->
                                    text.append(key).append(" = ").append(value).append('\n'));
                    text.append('\n');
                });
        return text.toString();
    }
}
