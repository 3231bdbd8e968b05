package org.sesamedeck.operator;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.sesamedeck.platform.ObjectStore;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that keeps a client of the object API open while it runs. */
abstract class BaseOperatorCommand implements Callable<Integer> {
    @Mixin private ConnectionOptions mConnection;

    @Spec private CommandSpec mSpec;

    private final OperatorContext mContext;

    BaseOperatorCommand(OperatorContext context) {
        mContext = context;
    }

    /** Runs the command with an open connection. */
    abstract ExitStatus run(ConfigurationClient client);

    @Override
    public final Integer call() {
        try (ObjectStore store = mContext.open(mConnection.platform())) {
            return run(ConfigurationClient.of(store)).number();
        }
    }

    final OperatorContext context() {
        return mContext;
    }

    final boolean isJson() {
        return mConnection.isJson();
    }

    final PrintWriter output() {
        return mSpec.commandLine().getOut();
    }

    final PrintWriter errors() {
        return mSpec.commandLine().getErr();
    }
}
