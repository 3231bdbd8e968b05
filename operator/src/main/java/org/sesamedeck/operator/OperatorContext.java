package org.sesamedeck.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.core.SettingError;
import org.sesamedeck.platform.ObjectStore;

/** Dependencies and output helpers that the commands share. */
final class OperatorContext {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final Function<HostAddress, ObjectStore> mStoreFactory;
    private final Clock mClock;

    private OperatorContext(Function<HostAddress, ObjectStore> storeFactory, Clock clock) {
        mStoreFactory = storeFactory;
        mClock = clock;
    }

    static OperatorContext of(Function<HostAddress, ObjectStore> storeFactory, Clock clock) {
        return new OperatorContext(storeFactory, clock);
    }

    ObjectStore open(HostAddress platform) {
        return mStoreFactory.apply(platform);
    }

    Clock clock() {
        return mClock;
    }

    /** Prints a value as indented JSON. */
    static void printJson(PrintWriter output, Object value) {
        try {
            output.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.INTERNAL_ERROR, "cannot print as JSON", failure);
        }
        output.flush();
    }

    /** Prints every error of the lists as a table. */
    static void printErrors(PrintWriter output, List<SettingError> errors) {
        TextTable table = TextTable.of("LIST", "SECTION", "KEY", "VALUE", "ALLOWED");
        errors.forEach(
                error ->
                        table.row(
                                error.source(),
                                error.section(),
                                error.key(),
                                error.value(),
                                error.allowed()));
        output.print(table.render("no errors"));
        output.flush();
    }

    /**
     * Reads a list from a file.
     *
     * @throws SesamedeckException with INVALID_CONFIGURATION when it cannot be read as UTF-8 text
     */
    static String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (CharacterCodingException malformed) {
            throw SesamedeckException.of(
                    ResultCode.INVALID_CONFIGURATION, file + " is not UTF-8 text", malformed);
        } catch (IOException failure) {
            throw SesamedeckException.of(
                    ResultCode.INVALID_CONFIGURATION,
                    file + " cannot be read: " + failure,
                    failure);
        }
    }
}
