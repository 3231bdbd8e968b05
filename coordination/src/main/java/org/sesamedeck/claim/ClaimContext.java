package org.sesamedeck.claim;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;

/** Dependencies shared by all shards of one process. */
record ClaimContext(
        ObjectStore store, ControlScheduler scheduler, Clock clock, ClaimSettings settings) {
    static ObjectKey shardKey(int shard) {
        return ObjectKey.of("claims", Integer.toString(shard));
    }

    static ObjectKey segmentKey(String name) {
        return ObjectKey.of("claim-segment", name);
    }

    static SesamedeckException unavailable(String message) {
        return SesamedeckException.of(ResultCode.CLAIMS_UNAVAILABLE, message);
    }

    /** Passes the result or the failure of a call to its consumer on the control thread. */
    <T> void onControlThread(
            CompletableFuture<T> call,
            Consumer<T> onResult,
            Consumer<SesamedeckException> onFailure) {
        call.whenComplete(
                (result, failure) ->
                        scheduler.execute(
                                () -> {
                                    if (failure == null) {
                                        onResult.accept(result);
                                    } else {
                                        onFailure.accept(SesamedeckException.from(failure));
                                    }
                                }));
    }
}
