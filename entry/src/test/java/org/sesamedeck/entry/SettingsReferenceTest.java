package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.SettingsReference;

class SettingsReferenceTest {
    /** Guards against a settings page whose keys, limits or defaults differ from the program. */
    @Test
    void settingsPageContainsGeneratedTable() throws IOException {
        String page = Files.readString(Path.of("../docs/settings.md"));

        assertThat(page, containsString(SettingsReference.table(EntryMain.create().schema())));
    }
}
