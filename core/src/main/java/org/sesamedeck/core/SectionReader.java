package org.sesamedeck.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the values of one section of a list and collects the errors found in it. */
final class SectionReader {
    private final String mSource;
    private final String mSection;
    private final Map<String, String> mValues;
    private final List<SettingError> mErrors;

    private SectionReader(
            String source, String section, Map<String, String> values, List<SettingError> errors) {
        mSource = source;
        mSection = section;
        mValues = values;
        mErrors = errors;
    }

    static SectionReader of(
            String source, String section, Map<String, String> values, List<SettingError> errors) {
        return new SectionReader(source, section, values, errors);
    }

    /**
     * Returns the name in a section title such as {@code plan gold}, if the title is of this kind
     * and the name is valid.
     */
    Optional<String> nameAfter(String kind) {
        if (!mSection.startsWith(kind + " ")) {
            return Optional.empty();
        }
        String name = mSection.substring(kind.length() + 1).strip();
        return SettingTypes.name().parse(name);
    }

    void checkKeys(List<String> allowed) {
        mValues.forEach(
                (key, value) -> {
                    if (!allowed.contains(key)) {
                        error(key, value, "one of the keys " + allowed);
                    }
                });
    }

    /** Returns the value of a key; a null default makes the key required. */
    <T> Optional<T> value(String key, SettingType<T> type, String defaultText) {
        String text = mValues.getOrDefault(key, defaultText);
        if (text == null) {
            error(key, "", type.allowed() + " (required)");
            return Optional.empty();
        }
        Optional<T> value = type.parse(text);
        if (value.isEmpty()) {
            error(key, text, type.allowed());
        }
        return value;
    }

    void error(String key, String value, String allowed) {
        mErrors.add(SettingError.of(mSource, mSection, key, value, allowed));
    }
}
