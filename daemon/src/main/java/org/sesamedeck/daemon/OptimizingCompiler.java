package org.sesamedeck.daemon;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import javax.management.JMException;
import javax.management.ObjectName;

/**
 * The optimizing compiler of the JVM (C2), which can be limited to part of the code while the
 * process runs. All other code is still compiled, by the quick compiler (C1).
 *
 * <p>Each thread of C2 keeps tens of megabytes outside the heap, and the JVM starts up to one for
 * every two or three processors when much code becomes hot at once. The limit is set with the
 * compiler directives of JEP 165.
 */
public final class OptimizingCompiler {
    private static final String COMMANDS = "com.sun.management:type=DiagnosticCommand";
    private static final String ADD_COMMAND = "compilerDirectivesAdd";

    private OptimizingCompiler() {}

    /**
     * Limits the compiler to methods that match a pattern. If the JVM does not accept the limit, or
     * no temporary file can be written, a warning is logged and the compiler has no limit.
     *
     * @param patterns such as {@code org/sesamedeck/*.*}: classes with slashes, a dot, methods
     */
    public static void limitTo(List<String> patterns) {
        try {
            Path file = Files.createTempFile("compiler-directives", ".json");
            try {
                Files.writeString(file, directives(patterns));
                String answer = invoke(ADD_COMMAND, file.toString());
                if (!answer.contains("directives added")) {
                    logFailure(answer);
                }
            } finally {
                Files.delete(file);
            }
        } catch (IOException | JMException failure) {
            logFailure(failure.toString());
        }
    }

    private static void logFailure(String cause) {
        System.getLogger(OptimizingCompiler.class.getName())
                .log(
                        System.Logger.Level.WARNING,
                        "the optimizing compiler could not be limited: {0}",
                        cause);
    }

    /** Returns two directives; the first one that matches a method applies. */
    private static String directives(List<String> patterns) {
        String quoted =
                patterns.stream()
                        .map(pattern -> "\"" + pattern + "\"")
                        .collect(Collectors.joining(", "));
        // The JVM ignores a directive that sets no option.
        return "[{match: ["
                + quoted
                + "], c2: {Exclude: false}}, {match: \"*.*\", c2: {Exclude: true}}]";
    }

    /** Runs a command of the tool {@code jcmd} in this process and returns its output. */
    static String invoke(String command, String... arguments) throws JMException {
        boolean hasArguments = arguments.length > 0;
        return (String)
                ManagementFactory.getPlatformMBeanServer()
                        .invoke(
                                new ObjectName(COMMANDS),
                                command,
                                hasArguments ? new Object[] {arguments} : new Object[0],
                                hasArguments
                                        ? new String[] {String[].class.getName()}
                                        : new String[0]);
    }
}
