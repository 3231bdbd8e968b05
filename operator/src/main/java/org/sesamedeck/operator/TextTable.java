package org.sesamedeck.operator;

import java.util.ArrayList;
import java.util.List;

/** Plain-text table whose columns are as wide as their widest cell. */
final class TextTable {
    private static final String COLUMN_GAP = "  ";

    private final List<String> mHeading;
    private final List<List<String>> mRows = new ArrayList<>();

    private TextTable(List<String> heading) {
        mHeading = heading;
    }

    static TextTable of(String... heading) {
        return new TextTable(List.of(heading));
    }

    /** Adds a row with as many cells as the heading. */
    TextTable row(Object... cells) {
        if (cells.length != mHeading.size()) {
            throw new IllegalArgumentException(
                    cells.length
                            + " cells in a row, but the number of columns is "
                            + mHeading.size());
        }
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        mRows.add(row);
        return this;
    }

    /** Returns the table, or the given text when it has no rows. */
    String render(String whenEmpty) {
        if (mRows.isEmpty()) {
            return whenEmpty + "\n";
        }
        int[] widths = new int[mHeading.size()];
        measure(mHeading, widths);
        mRows.forEach(row -> measure(row, widths));
        StringBuilder text = new StringBuilder();
        append(text, mHeading, widths);
        mRows.forEach(row -> append(text, row, widths));
        return text.toString();
    }

    private static void measure(List<String> row, int[] widths) {
        for (int column = 0; column < widths.length; column++) {
            widths[column] = Math.max(widths[column], row.get(column).length());
        }
    }

    private static void append(StringBuilder text, List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = row.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(COLUMN_GAP);
        }
        text.append(line.toString().stripTrailing()).append('\n');
    }
}
