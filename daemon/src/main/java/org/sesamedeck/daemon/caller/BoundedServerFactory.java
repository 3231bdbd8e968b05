package org.sesamedeck.daemon.caller;

import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Environment;
import org.eclipse.jetty.server.Server;

/** Builds a server whose requests are observed by the ledgers of its connectors. */
public final class BoundedServerFactory extends DefaultServerFactory {
    @Override
    public Server build(Environment environment) {
        Server server = super.build(environment);
        server.setHandler(CallerHandler.of(server.getHandler()));
        return server;
    }
}
