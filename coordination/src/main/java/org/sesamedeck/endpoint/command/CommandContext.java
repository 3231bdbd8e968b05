package org.sesamedeck.endpoint.command;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ControlScheduler;

/** Dependencies shared by an executor and its command runs. */
record CommandContext(
        LeasedCommandLog commandLog,
        EngineCommandSender sender,
        ControlScheduler scheduler,
        Clock clock,
        CommandSettings settings,
        TakeoverRule takeoverRule,
        BooleanSupplier isClosing) {
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
