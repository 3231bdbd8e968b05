package org.sesamedeck.gateway;

import java.util.Locale;

/** Collects samples in the Prometheus text format. */
public final class MetricsText {
    private final StringBuilder mText = new StringBuilder();

    private MetricsText() {}

    /** Returns an empty text. */
    public static MetricsText create() {
        return new MetricsText();
    }

    /** Adds a value with one label. */
    public void value(String name, String label, Object labelValue, long value) {
        mText.append(name)
                .append('{')
                .append(label)
                .append("=\"")
                .append(escape(String.valueOf(labelValue).toLowerCase(Locale.ROOT)))
                .append("\"} ")
                .append(value)
                .append('\n');
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    /** Adds a value without labels. */
    public void value(String name, long value) {
        mText.append(name).append(' ').append(value).append('\n');
    }

    @Override
    public String toString() {
        return mText.toString();
    }
}
