package org.sesamedeck.core;

import java.util.List;

/** Generates the settings table of a daemon for docs/settings.md. */
public final class SettingsReference {
    private SettingsReference() {}

    /** Returns a Markdown table with one row for each setting, in the order of the schema. */
    public static String table(List<Setting<?>> schema) {
        StringBuilder table =
                new StringBuilder(
                        "| section | key | allowed | default | meaning |\n|---|---|---|---|---|\n");
        for (Setting<?> setting : schema) {
            table.append(
                    String.format(
                            "| `[%s]` | `%s` | %s | %s | %s |%n",
                            setting.section(),
                            setting.key(),
                            setting.type().allowed(),
                            setting.defaultText()
                                    .map(text -> text.isEmpty() ? "empty" : "`" + text + "`")
                                    .orElse("required"),
                            setting.description()));
        }
        return table.toString();
    }
}
