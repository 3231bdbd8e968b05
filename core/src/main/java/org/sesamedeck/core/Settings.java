package org.sesamedeck.core;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The validated values of one settings file. Either all values are valid or none is available; all
 * errors of a file are reported together.
 */
public final class Settings {
    private final Map<Setting<?>, Object> mValues;

    private Settings(Map<Setting<?>, Object> values) {
        mValues = values;
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws SesamedeckException with {@link ResultCode#INVALID_SETTINGS} and a message with one
     *     line for each error
     */
    public static Settings load(Path file, List<Setting<?>> schema) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException failure) {
            throw SesamedeckException.of(
                    ResultCode.INVALID_SETTINGS,
                    "settings file " + file + " cannot be read: " + failure.getMessage(),
                    failure);
        }
        return parse(file.toString(), text, schema);
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param source the name used in error messages
     * @throws SesamedeckException with {@link ResultCode#INVALID_SETTINGS} and a message with one
     *     line for each error
     */
    public static Settings parse(String source, String text, List<Setting<?>> schema) {
        List<SettingError> errors = new ArrayList<>();
        IniDocument document = IniDocument.parse(source, text, errors);
        Map<Setting<?>, Object> values = new HashMap<>();
        for (Setting<?> setting : schema) {
            readValue(document, setting, values, errors);
        }
        reportUnknownKeys(document, schema, errors);
        if (!errors.isEmpty()) {
            throw SesamedeckException.of(
                    ResultCode.INVALID_SETTINGS,
                    String.join("\n", errors.stream().map(SettingError::toString).toList()));
        }
        return new Settings(values);
    }

    private static void readValue(
            IniDocument document,
            Setting<?> setting,
            Map<Setting<?>, Object> values,
            List<SettingError> errors) {
        Optional<String> given =
                Optional.ofNullable(
                        document.sections()
                                .getOrDefault(setting.section(), Map.of())
                                .get(setting.key()));
        Optional<String> text = given.or(setting::defaultText);
        Optional<?> value = text.flatMap(setting.type()::parse);
        if (value.isPresent()) {
            values.put(setting, value.get());
            return;
        }
        errors.add(
                SettingError.of(
                        document.source(),
                        setting.section(),
                        setting.key(),
                        text.orElse(""),
                        setting.type().allowed() + (text.isPresent() ? "" : " (required)")));
    }

    private static void reportUnknownKeys(
            IniDocument document, List<Setting<?>> schema, List<SettingError> errors) {
        Map<String, List<String>> known = new HashMap<>();
        for (Setting<?> setting : schema) {
            known.computeIfAbsent(setting.section(), section -> new ArrayList<>())
                    .add(setting.key());
        }
        document.sections()
                .forEach(
                        (section, values) -> {
                            List<String> keys = known.getOrDefault(section, List.of());
                            if (keys.isEmpty()) {
                                errors.add(
                                        SettingError.of(
                                                document.source(),
                                                section,
                                                "",
                                                "",
                                                "one of the sections " + known.keySet()));
                            }
                            values.forEach(
                                    (key, value) -> {
                                        if (!keys.isEmpty() && !keys.contains(key)) {
                                            errors.add(
                                                    SettingError.of(
                                                            document.source(),
                                                            section,
                                                            key,
                                                            value,
                                                            "one of the keys " + keys));
                                        }
                                    });
                        });
    }

    /**
     * Returns the value of a setting.
     *
     * @throws IllegalArgumentException if the setting is not part of the schema
     */
    @SuppressWarnings("unchecked")
    public <T> T get(Setting<T> setting) {
        Object value = mValues.get(setting);
        if (value == null) {
            throw new IllegalArgumentException(
                    "setting [" + setting.section() + "] " + setting.key() + " is not declared");
        }
        return (T) value;
    }
}
