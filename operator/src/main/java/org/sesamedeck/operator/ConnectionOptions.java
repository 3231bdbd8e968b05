package org.sesamedeck.operator;

import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.core.SettingTypes;
import picocli.CommandLine.Option;

/** Options of the commands that read or write the platform's object API. */
final class ConnectionOptions {
    @Option(
            names = "--platform",
            paramLabel = "ADDRESS",
            defaultValue = "${env:SESAMEDECK_PLATFORM}",
            required = true,
            description =
                    "IP address and port of the platform's object API, such as 10.0.0.1:7000."
                            + " Default: the environment variable SESAMEDECK_PLATFORM.")
    private String mPlatform;

    @Option(
            names = "--output",
            paramLabel = "FORMAT",
            defaultValue = "TABLE",
            description = "table or json.")
    private OutputFormat mOutput;

    HostAddress platform() {
        return SettingTypes.address()
                .parse(mPlatform)
                .orElseThrow(
                        () ->
                                SesamedeckException.of(
                                        ResultCode.BAD_REQUEST,
                                        "--platform \""
                                                + mPlatform
                                                + "\": allowed is "
                                                + SettingTypes.address().allowed()));
    }

    boolean isJson() {
        return mOutput == OutputFormat.JSON;
    }
}
