package org.sesamedeck.daemon.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** Tells the ledger of a connector which connections are open. Thread-safe. */
final class CallerConnections implements Connection.Listener {
    private final CallerLedger mLedger;
    private final Map<EndPoint, CallerConnection> mOpen = new ConcurrentHashMap<>();

    private CallerConnections(CallerLedger ledger) {
        mLedger = ledger;
    }

    static CallerConnections of(CallerLedger ledger) {
        return new CallerConnections(ledger);
    }

    @Override
    public void onOpened(Connection connection) {
        EndPoint endPoint = connection.getEndPoint();
        mOpen.put(endPoint, mLedger.open(endPoint::close));
        if (!endPoint.isOpen()) {
            // The ledger had no room, and the call of onClosed came before.
            onClosed(connection);
        }
    }

    @Override
    public void onClosed(Connection connection) {
        CallerConnection closed = mOpen.remove(connection.getEndPoint());
        if (closed != null) {
            mLedger.remove(closed);
        }
    }

    Optional<CallerConnection> find(Connection connection) {
        return Optional.ofNullable(mOpen.get(connection.getEndPoint()));
    }

    CallerLedger ledger() {
        return mLedger;
    }
}
