package org.sesamedeck.daemon.caller;

import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * An HTTP connection that refuses requests with too many header or trailer fields. Jetty limits
 * only the size of a head: one of 8 KiB with the shortest fields took 300 KB decoded.
 */
final class BoundedHttpConnection extends HttpConnection {
    private final int mMaxFields;

    BoundedHttpConnection(
            HttpConfiguration configuration,
            Connector connector,
            EndPoint endPoint,
            int maxFields) {
        super(configuration, connector, endPoint);
        mMaxFields = maxFields;
    }

    @Override
    protected RequestHandler newRequestHandler() {
        return new CountingHandler();
    }

    private final class CountingHandler extends RequestHandler {
        private int mFields;

        @Override
        public void startRequest(String method, String uri, HttpVersion version) {
            mFields = 0;
            super.startRequest(method, uri, version);
        }

        @Override
        public void parsedHeader(HttpField field) {
            count();
            super.parsedHeader(field);
        }

        @Override
        public void parsedTrailer(HttpField field) {
            count();
            super.parsedTrailer(field);
        }

        private void count() {
            mFields++;
            if (mFields > mMaxFields) {
                throw new BadMessageException(
                        HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431,
                        "more than " + mMaxFields + " fields");
            }
        }
    }
}
