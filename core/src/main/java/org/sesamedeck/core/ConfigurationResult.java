package org.sesamedeck.core;

import java.util.List;
import java.util.Optional;

/**
 * The result of parsing and validating the two lists.
 *
 * @param configuration the configuration, present exactly when there are no errors
 * @param errors all errors found in both lists
 */
public record ConfigurationResult(
        Optional<Configuration> configuration, List<SettingError> errors) {
    /**
     * Returns the configuration.
     *
     * @throws SesamedeckException with {@link ResultCode#INVALID_CONFIGURATION} and one line for
     *     each error
     */
    public Configuration orThrow() {
        return configuration.orElseThrow(
                () ->
                        SesamedeckException.of(
                                ResultCode.INVALID_CONFIGURATION,
                                String.join(
                                        "\n",
                                        errors.stream().map(SettingError::toString).toList())));
    }
}
