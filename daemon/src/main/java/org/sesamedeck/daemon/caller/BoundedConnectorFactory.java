package org.sesamedeck.daemon.caller;

import io.dropwizard.jetty.HttpConnectorFactory;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;
import org.sesamedeck.core.HostAddress;

/** Builds a connector whose callers are limited by a ledger of their own. */
public final class BoundedConnectorFactory extends HttpConnectorFactory {
    private static final long CHECK_MILLIS = 250;

    private final CallerLedger mLedger;
    private final int mMaxFields;

    private BoundedConnectorFactory(CallerLedger ledger, int maxFields) {
        mLedger = ledger;
        mMaxFields = maxFields;
    }

    /**
     * Returns a factory for a listen address.
     *
     * @param maxFields maximum number of header and trailer fields of a request
     */
    public static BoundedConnectorFactory of(
            HostAddress address, CallerLedger ledger, int maxFields) {
        BoundedConnectorFactory factory = new BoundedConnectorFactory(ledger, maxFields);
        factory.setBindHost(address.address());
        factory.setPort(address.port());
        return factory;
    }

    @Override
    protected HttpConnectionFactory buildHttpConnectionFactory(HttpConfiguration configuration) {
        HttpConnectionFactory standard = super.buildHttpConnectionFactory(configuration);
        HttpConnectionFactory bounded =
                new BoundedConnectionFactory(standard.getHttpConfiguration(), mMaxFields);
        bounded.setInputBufferSize(standard.getInputBufferSize());
        return bounded;
    }

    @Override
    protected ServerConnector buildConnector(
            Server server,
            Scheduler scheduler,
            ByteBufferPool bufferPool,
            String name,
            ThreadPool threadPool,
            ConnectionFactory... factories) {
        ServerConnector connector =
                super.buildConnector(server, scheduler, bufferPool, name, threadPool, factories);
        CallerConnections connections = CallerConnections.of(mLedger);
        connector.addBean(connections);
        connector.addEventListener(
                new LifeCycle.Listener() {
                    @Override
                    public void lifeCycleStarted(LifeCycle started) {
                        // Before the start, the scheduler would drop the task.
                        scheduleCheck(scheduler);
                    }
                });
        return connector;
    }

    private void scheduleCheck(Scheduler scheduler) {
        scheduler.schedule(
                () -> {
                    mLedger.check();
                    scheduleCheck(scheduler);
                },
                CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static final class BoundedConnectionFactory extends HttpConnectionFactory {
        private final int mMaxFields;

        private BoundedConnectionFactory(HttpConfiguration configuration, int maxFields) {
            super(configuration);
            mMaxFields = maxFields;
        }

        @Override
        public Connection newConnection(Connector connector, EndPoint endPoint) {
            return configure(
                    new BoundedHttpConnection(
                            getHttpConfiguration(), connector, endPoint, mMaxFields),
                    connector,
                    endPoint);
        }
    }
}
