package org.sesamedeck.gateway;

import java.time.Duration;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.Settings;
import org.sesamedeck.routing.EngineTraits;
import org.sesamedeck.routing.RouterSettings;
import org.sesamedeck.routing.locality.HostLocation;
import org.sesamedeck.routing.locality.LinkCost;
import org.sesamedeck.routing.locality.LocalitySettings;

/** Reads the settings of the router from those of the gateway. */
final class RouterSettingsReader {
    /** Size of a prompt token on the wire, in bytes. */
    private static final double BYTES_PER_TOKEN = 1;

    private static final double TOKENS_PER_TRANSFER_TIME = 1_000;

    private RouterSettingsReader() {}

    static RouterSettings read(Settings settings) {
        RouterSettings router =
                RouterSettings.defaults(settings.get(GatewaySettings.REGION))
                        .withTraits(traits(settings))
                        .withBytesPerToken(BYTES_PER_TOKEN)
                        .withSpeed(
                                settings.get(GatewaySettings.PROMPT_TOKEN_TIME).toNanos(),
                                settings.get(GatewaySettings.OUTPUT_TOKEN_TIME).toNanos());
        return settings.get(GatewaySettings.KEEP_LOCAL)
                ? router.withLocality(locality(settings))
                : router;
    }

    private static EngineTraits traits(Settings settings) {
        return new EngineTraits(
                true,
                settings.get(GatewaySettings.FETCH_CACHES),
                settings.get(GatewaySettings.BATCH_SCALE),
                settings.get(GatewaySettings.TOKEN_INTERVAL_LIMIT).toNanos());
    }

    private static LocalitySettings locality(Settings settings) {
        return new LocalitySettings(
                new HostLocation(
                        settings.get(GatewaySettings.FAILURE_DOMAIN),
                        settings.get(GatewaySettings.REGION)),
                cost(
                        settings,
                        GatewaySettings.DOMAIN_DELAY,
                        GatewaySettings.DOMAIN_COST,
                        GatewaySettings.DOMAIN_TRANSFER_TIME),
                cost(
                        settings,
                        GatewaySettings.REGION_DELAY,
                        GatewaySettings.REGION_COST,
                        GatewaySettings.REGION_TRANSFER_TIME),
                settings.get(GatewaySettings.FULL_WAIT).toNanos());
    }

    private static LinkCost cost(
            Settings settings,
            Setting<Duration> delay,
            Setting<Duration> kilobyte,
            Setting<Duration> transfer) {
        return new LinkCost(
                settings.get(delay).toNanos(),
                settings.get(kilobyte).toNanos(),
                settings.get(transfer).toNanos() / TOKENS_PER_TRANSFER_TIME);
    }
}
