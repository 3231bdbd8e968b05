package org.sesamedeck.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Routes, services and limits of one configuration version. Immutable. */
public final class ServingConfiguration {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, ServiceDescription> mServices;
    private final TrafficLimits mLimits;
    private final ClientAccounts mAccounts;

    private ServingConfiguration(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceDescription> services,
            TrafficLimits limits,
            ClientAccounts accounts) {
        mVersion = version;
        mRoutesByHost = routesByHost;
        mServices = services;
        mLimits = limits;
        mAccounts = accounts;
    }

    /** Returns a configuration without client accounts. */
    public static ServingConfiguration of(
            long version,
            List<Route> routes,
            List<ServiceDescription> services,
            TrafficLimits limits) {
        return of(version, routes, services, limits, ClientAccounts.none());
    }

    /** Returns a configuration with the given content. */
    public static ServingConfiguration of(
            long version,
            List<Route> routes,
            List<ServiceDescription> services,
            TrafficLimits limits,
            ClientAccounts accounts) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(hostName(route.host()), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
        Map<String, ServiceDescription> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new ServingConfiguration(version, byHost, byName, limits, accounts);
    }

    /** Returns the version; a later configuration has a higher one. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits on caller traffic. */
    public TrafficLimits limits() {
        return mLimits;
    }

    /** Returns the client accounts. */
    public ClientAccounts accounts() {
        return mAccounts;
    }

    /** Returns the descriptions of all services. */
    public Collection<ServiceDescription> services() {
        return List.copyOf(mServices.values());
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return mRoutesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the service of the given name. */
    public Optional<ServiceDescription> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the shortest target latency of the routes to a service, if any leads there. */
    public Optional<Duration> shortestTargetLatency(String service) {
        return mRoutesByHost.values().stream()
                .flatMap(List::stream)
                .filter(
                        route ->
                                route.shares().stream()
                                        .anyMatch(share -> share.service().equals(service)))
                .map(Route::targetLatency)
                .min(Comparator.naturalOrder());
    }

    /**
     * Returns the route with the longest prefix that matches the path.
     *
     * @param host host that the caller addressed, with or without a port
     * @param path path without query
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : mRoutesByHost.getOrDefault(hostName(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int port = host.lastIndexOf(':');
        String name = port > 0 && host.indexOf(']', port) < 0 ? host.substring(0, port) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
