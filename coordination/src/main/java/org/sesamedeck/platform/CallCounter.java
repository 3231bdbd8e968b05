package org.sesamedeck.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts calls to the platform by kind, failed calls included. Thread-safe. */
public final class CallCounter {
    private final Map<CallKind, LongAdder> mCalls = new EnumMap<>(CallKind.class);

    private CallCounter() {
        for (CallKind kind : CallKind.values()) {
            mCalls.put(kind, new LongAdder());
        }
    }

    /** Returns a counter with no calls. */
    public static CallCounter create() {
        return new CallCounter();
    }

    /** Counts one call. */
    public void count(CallKind kind) {
        mCalls.get(kind).increment();
    }

    /** Returns the number of calls of one kind. */
    public long calls(CallKind kind) {
        return mCalls.get(kind).sum();
    }

    /** Returns the number of creations, updates and deletions. */
    public long writes() {
        return calls(CallKind.CREATE) + calls(CallKind.UPDATE) + calls(CallKind.DELETE);
    }

    /** Returns the number of calls that are not writes. */
    public long reads() {
        return calls(CallKind.GET)
                + calls(CallKind.LIST)
                + calls(CallKind.WATCH)
                + calls(CallKind.HOSTS);
    }
}
