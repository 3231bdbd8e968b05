package org.sesamedeck.operator;

import java.util.List;
import org.sesamedeck.core.ListChange;

/** Formats changes of the lists as a table. */
final class ChangeTable {
    private ChangeTable() {}

    static String render(List<ListChange> changes) {
        TextTable table = TextTable.of("LIST", "SECTION", "KEY", "BEFORE", "AFTER");
        changes.forEach(
                change ->
                        table.row(
                                change.list(),
                                change.section(),
                                change.key(),
                                orDash(change.before()),
                                orDash(change.after())));
        return table.render("no difference");
    }

    private static String orDash(String value) {
        return value.isEmpty() ? "-" : value;
    }
}
