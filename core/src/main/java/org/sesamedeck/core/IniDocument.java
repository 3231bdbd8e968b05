package org.sesamedeck.core;

import java.io.IOException;
import java.io.StringReader;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * The sections of one INI text in order, each a map from key to value. Section names, keys and
 * values keep their case; surrounding white space is removed.
 */
public final class IniDocument {
    private static final String ESCAPED_DOT = "..";

    private final String mSource;
    private final Map<String, Map<String, String>> mSections;

    private IniDocument(String source, Map<String, Map<String, String>> sections) {
        mSource = source;
        mSections = sections;
    }

    /**
     * Parses a text.
     *
     * @param source the name used in error messages, usually a file name
     * @param errors receives an error for each malformed, repeated or misplaced line
     */
    public static IniDocument parse(String source, String text, List<SettingError> errors) {
        Map<String, Map<String, String>> sections = new LinkedHashMap<>();
        checkLines(source, text, errors);
        INIConfiguration configuration = new INIConfiguration();
        configuration.setThrowExceptionOnMissing(false);
        try {
            configuration.read(new StringReader(text));
        } catch (ConfigurationException | IOException failure) {
            errors.add(SettingError.of(source, "", "", "", "INI text: " + failure.getMessage()));
            return new IniDocument(source, sections);
        }
        for (String section : configuration.getSections()) {
            if (section == null) {
                continue;
            }
            SubnodeConfiguration node = configuration.getSection(section);
            Map<String, String> values = new LinkedHashMap<>();
            node.getKeys()
                    .forEachRemaining(
                            key ->
                                    values.put(
                                            key.replace(ESCAPED_DOT, "."),
                                            String.join(",", node.getList(String.class, key))));
            sections.put(section, values);
        }
        return new IniDocument(source, sections);
    }

    /**
     * Reports duplicates, keys outside sections and lines without a key, all of which the INI
     * library silently merges or skips.
     */
    private static void checkLines(String source, String text, List<SettingError> errors) {
        Map<String, Integer> seen = new LinkedHashMap<>();
        String section = null;
        int number = 0;
        for (String raw : text.split("\n", -1)) {
            number++;
            String line = raw.strip();
            if (line.isEmpty() || line.startsWith(";") || line.startsWith("#")) {
                continue;
            }
            if (line.startsWith("[")) {
                section = checkSection(source, line, number, seen, errors);
                continue;
            }
            int separator = line.indexOf('=');
            if (separator <= 0) {
                errors.add(
                        SettingError.of(
                                source, name(section), "line " + number, line, "key = value"));
                continue;
            }
            String key = line.substring(0, separator).strip();
            if (section == null) {
                errors.add(
                        SettingError.of(source, "", key, line, "a [section] line before any key"));
                continue;
            }
            if (seen.putIfAbsent(section + "\n" + key, number) != null) {
                errors.add(SettingError.of(source, section, key, line, "each key once a section"));
            }
        }
    }

    private static String checkSection(
            String source,
            String line,
            int number,
            Map<String, Integer> seen,
            List<SettingError> errors) {
        if (!line.endsWith("]") || line.length() < 3) {
            errors.add(SettingError.of(source, "", "line " + number, line, "[section]"));
            return "";
        }
        String section = line.substring(1, line.length() - 1).strip();
        if (seen.putIfAbsent("[" + section, number) != null) {
            errors.add(SettingError.of(source, section, "", line, "each section once"));
        }
        return section;
    }

    private static String name(String section) {
        return section == null ? "" : section;
    }

    /** Returns the name used in error messages. */
    public String source() {
        return mSource;
    }

    /** Returns the sections in the order of the text; callers must not modify the map. */
    public Map<String, Map<String, String>> sections() {
        return mSections;
    }
}
