package org.sesamedeck.core;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The setting types used by the settings files and the two lists. */
public final class SettingTypes {
    private static final Pattern DURATION =
            Pattern.compile("(\\d{1,12}(?:\\.\\d{1,9})?)\\s*(us|ms|s|m|h)");
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?");
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;

    private SettingTypes() {}

    private record DefaultSettingType<T>(String allowed, Function<String, Optional<T>> parser)
            implements SettingType<T> {
        @Override
        public Optional<T> parse(String text) {
            return parser.apply(text);
        }
    }

    /** Any text that is not empty. */
    public static SettingType<String> text() {
        return new DefaultSettingType<>(
                "a text that is not empty",
                text -> text.isBlank() ? Optional.empty() : Optional.of(text));
    }

    /** A name of lower-case letters, digits, dots, underscores and hyphens. */
    public static SettingType<String> name() {
        return new DefaultSettingType<>(
                "a name of 1 to 64 characters from a-z, 0-9, '.', '_' and '-'",
                text -> NAME.matcher(text).matches() ? Optional.of(text) : Optional.empty());
    }

    /** A whole number within bounds, both included. */
    public static SettingType<Long> wholeNumber(long minimum, long maximum) {
        return new DefaultSettingType<>(
                "a whole number from " + minimum + " to " + maximum,
                text -> parseLong(text).filter(value -> value >= minimum && value <= maximum));
    }

    /** A decimal number within bounds, both included. */
    public static SettingType<Double> decimal(double minimum, double maximum) {
        return new DefaultSettingType<>(
                "a number from " + minimum + " to " + maximum,
                text -> parseDouble(text).filter(value -> value >= minimum && value <= maximum));
    }

    /** Either {@code true} or {@code false}. */
    public static SettingType<Boolean> flag() {
        return new DefaultSettingType<>(
                "true or false",
                text ->
                        switch (text) {
                            case "true" -> Optional.of(true);
                            case "false" -> Optional.of(false);
                            default -> Optional.empty();
                        });
    }

    /** A duration such as {@code 450ms}, within bounds, both included. */
    public static SettingType<Duration> duration(Duration minimum, Duration maximum) {
        return new DefaultSettingType<>(
                String.format(
                        "a duration such as 250ms, 2s or 5m, from %dms to %dms",
                        minimum.toMillis(), maximum.toMillis()),
                text ->
                        parseDuration(text)
                                .filter(
                                        value ->
                                                value.compareTo(minimum) >= 0
                                                        && value.compareTo(maximum) <= 0));
    }

    /** An IP address and a port, such as {@code 127.0.0.1:8080} or {@code [::1]:8080}. */
    public static SettingType<HostAddress> address() {
        return new DefaultSettingType<>(
                "an IP address and port such as 10.0.0.7:8080", SettingTypes::parseAddress);
    }

    /** One of the given words. */
    public static SettingType<String> oneOf(String... words) {
        return new DefaultSettingType<>(
                "one of " + String.join(", ", words),
                text -> Arrays.asList(words).contains(text) ? Optional.of(text) : Optional.empty());
    }

    /** A list separated by commas; an empty text is an empty list. */
    public static <T> SettingType<List<T>> listOf(SettingType<T> element) {
        return new DefaultSettingType<>(
                "a list, separated by commas, of " + element.allowed(),
                text -> parseList(text, element));
    }

    private static <T> Optional<List<T>> parseList(String text, SettingType<T> element) {
        List<T> values = new ArrayList<>();
        if (text.isBlank()) {
            return Optional.of(List.of());
        }
        for (String part : text.split(",", -1)) {
            Optional<T> value = element.parse(part.strip());
            if (value.isEmpty()) {
                return Optional.empty();
            }
            values.add(value.get());
        }
        return Optional.of(List.copyOf(values));
    }

    private static Optional<Long> parseLong(String text) {
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException notANumber) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseDouble(String text) {
        try {
            double value = Double.parseDouble(text);
            return Double.isFinite(value) ? Optional.of(value) : Optional.empty();
        } catch (NumberFormatException notANumber) {
            return Optional.empty();
        }
    }

    private static Optional<Duration> parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long unitNanos =
                switch (matcher.group(2)) {
                    case "us" -> 1_000L;
                    case "ms" -> 1_000_000L;
                    case "s" -> 1_000_000_000L;
                    case "m" -> 60_000_000_000L;
                    default -> 3_600_000_000_000L;
                };
        BigDecimal nanos = new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(unitNanos));
        return nanos.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(nanos.longValue()));
    }

    private static Optional<HostAddress> parseAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        String address = matcher.group(1);
        if (port < 1 || port > MAX_PORT) {
            return Optional.empty();
        }
        if (!address.startsWith("[")) {
            for (String octet : address.split("\\.")) {
                if (Integer.parseInt(octet) > MAX_OCTET) {
                    return Optional.empty();
                }
            }
        }
        return Optional.of(HostAddress.of(address, port));
    }
}
