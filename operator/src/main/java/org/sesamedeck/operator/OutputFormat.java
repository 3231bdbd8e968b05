package org.sesamedeck.operator;

/** Output format of a command. */
public enum OutputFormat {
    TABLE,
    JSON
}
