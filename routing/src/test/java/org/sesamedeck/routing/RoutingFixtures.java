package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.Entitlement;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Plan;

/** Endpoints, plans and requests for the tests of this module. */
final class RoutingFixtures {
    static final String MODEL = "house-judge";
    static final String REGION = "tunis";

    private RoutingFixtures() {}

    static EndpointDescription engine(String name, EndpointRole role) {
        return engine(name, role, REGION, false, false);
    }

    static EndpointDescription engine(
            String name, EndpointRole role, String region, boolean leaving, boolean changing) {
        return new EndpointDescription(
                name,
                HostAddress.of("127.0.0.1", 1 + (name.hashCode() & 0x7fff)),
                "tasting-models",
                region + "-a",
                region,
                true,
                leaving,
                changing,
                role,
                Set.of(MODEL));
    }

    static List<EndpointDescription> engines(int count, EndpointRole role) {
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("engine-" + i, role));
        }
        return engines;
    }

    static RequestProfile request(String plan, String clientAccount, long deadlineNanos) {
        return request(plan, clientAccount, 1000, 100, deadlineNanos);
    }

    static RequestProfile request(
            String plan, String clientAccount, long prompt, long output, long deadlineNanos) {
        return new RequestProfile(
                plan,
                clientAccount,
                MODEL,
                true,
                5,
                prompt,
                output,
                new long[0],
                Set.of(),
                deadlineNanos);
    }

    static Plan plan(String name, double share) {
        return plan(name, share, 5, 1_000_000_000L);
    }

    static Plan plan(String name, double share, int priority, long requestsPerMinute) {
        return new Plan(
                name,
                share,
                priority,
                requestsPerMinute,
                1_000_000_000_000L,
                1_000_000L,
                Duration.ofMillis(450),
                Duration.ofMillis(31));
    }

    static Configuration configuration(Plan... plans) {
        Map<String, Plan> byName = new TreeMap<>();
        Map<String, Entitlement> entitlements = new TreeMap<>();
        for (Plan plan : plans) {
            byName.put(plan.name(), plan);
            entitlements.put(
                    plan.name(), new Entitlement(plan.name(), Set.of(MODEL), Set.of(), Set.of()));
        }
        return new Configuration(1, byName, Map.of(), entitlements, Map.of());
    }

    /** Endpoints that are always usable and never busy. */
    static CapacityView view(int usable) {
        return view(usable, () -> 0);
    }

    /** Endpoints that are always usable, with the given expected wait. */
    static CapacityView view(int usable, LongSupplier waitNanos) {
        return new CapacityView() {
            @Override
            public String poolOf(String target) {
                return "tasting-models";
            }

            @Override
            public int usableEndpoints(String pool) {
                return usable;
            }

            @Override
            public int prefillEndpoints(String pool) {
                return usable;
            }

            @Override
            public int decodeEndpoints(String pool) {
                return usable;
            }

            @Override
            public long expectedWaitNanos(String pool) {
                return waitNanos.getAsLong();
            }
        };
    }
}
