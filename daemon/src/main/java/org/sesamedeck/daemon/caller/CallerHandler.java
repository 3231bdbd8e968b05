package org.sesamedeck.daemon.caller;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Tells the ledger of a connector when a request waits for its caller to send or to read. */
public final class CallerHandler extends Handler.Wrapper {
    private CallerHandler(Handler handler) {
        super(handler);
    }

    /** Returns a handler that passes all requests on. */
    public static CallerHandler of(Handler handler) {
        return new CallerHandler(handler);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        CallerConnections connections =
                request.getConnectionMetaData().getConnector().getBean(CallerConnections.class);
        Optional<CallerConnection> found =
                connections == null
                        ? Optional.empty()
                        : connections.find(request.getConnectionMetaData().getConnection());
        if (found.isEmpty()) {
            return super.handle(request, response, callback);
        }
        CallerLedger ledger = connections.ledger();
        CallerConnection connection = found.get();
        ledger.beginRequest(connection);
        Request.addCompletionListener(request, failure -> ledger.endRequest(connection));
        request.setAttribute(CallerConnection.ATTRIBUTE, connection);
        ObservedRequest observedRequest = new ObservedRequest(request, ledger, connection);
        ObservedResponse observedResponse =
                new ObservedResponse(observedRequest, response, ledger, connection);
        return super.handle(observedRequest, observedResponse, callback);
    }

    private static final class ObservedRequest extends Request.Wrapper {
        private final CallerLedger mLedger;
        private final CallerConnection mConnection;

        private ObservedRequest(Request request, CallerLedger ledger, CallerConnection connection) {
            super(request);
            mLedger = ledger;
            mConnection = connection;
        }

        @Override
        public void demand(Runnable callback) {
            mLedger.beginReceiving(mConnection);
            super.demand(
                    () -> {
                        mLedger.endTransfer(mConnection);
                        callback.run();
                    });
        }

        @Override
        public Content.Chunk read() {
            Content.Chunk chunk = super.read();
            if (chunk != null) {
                mLedger.received(mConnection, chunk.remaining());
            }
            return chunk;
        }
    }

    private static final class ObservedResponse extends Response.Wrapper {
        private final CallerLedger mLedger;
        private final CallerConnection mConnection;

        private ObservedResponse(
                Request request,
                Response response,
                CallerLedger ledger,
                CallerConnection connection) {
            super(request, response);
            mLedger = ledger;
            mConnection = connection;
        }

        @Override
        public void write(boolean isLast, ByteBuffer bytes, Callback callback) {
            mLedger.beginSending(mConnection);
            super.write(isLast, bytes, new EndOfTransfer(callback));
        }

        private final class EndOfTransfer extends Callback.Nested {
            private EndOfTransfer(Callback callback) {
                super(callback);
            }

            @Override
            public void succeeded() {
                mLedger.endTransfer(mConnection);
                super.succeeded();
            }

            @Override
            public void failed(Throwable failure) {
                mLedger.endTransfer(mConnection);
                super.failed(failure);
            }
        }
    }
}
