package org.sesamedeck.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Header fields of a request, counted while they are decoded at the memory that their objects take:
 * a head of 16 KB may consist of 4,000 fields, which take a megabyte.
 */
final class MeteredHeaders extends DefaultHttpHeaders {
    /** Entry, name and value objects, and the entry of the copy that is forwarded, in bytes. */
    private static final int FIELD_BYTES = 256;

    /** The shortest field with its line end. */
    private static final int MIN_FIELD_LENGTH = 4;

    private final Meter mMeter;
    private final int mMaxFields;
    private int mFields;

    /** Reserves memory for fields. */
    interface Meter {
        /**
         * Counts one field.
         *
         * @throws OutOfCallerMemoryException if the memory is used up
         */
        void add(int bytes);
    }

    private MeteredHeaders(Meter meter, int maxFields) {
        super(true);
        mMeter = meter;
        mMaxFields = maxFields;
    }

    /** Returns a factory of headers that are counted by the meter. */
    static HttpHeadersFactory factory(Meter meter, int headerBytes) {
        int maxFields = headerBytes / MIN_FIELD_LENGTH;
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new MeteredHeaders(meter, maxFields);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new MeteredHeaders(meter, maxFields);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (++mFields > mMaxFields) {
            throw new TooLongHttpHeaderException("more than " + mMaxFields + " header fields");
        }
        int length = value instanceof CharSequence text ? text.length() : 0;
        mMeter.add(FIELD_BYTES + name.length() + length);
        return super.add(name, value);
    }
}
