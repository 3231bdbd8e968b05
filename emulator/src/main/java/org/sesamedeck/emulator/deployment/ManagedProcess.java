package org.sesamedeck.emulator.deployment;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of a deployment whose output is written to a log file. */
public final class ManagedProcess {
    private static final String KILL = "/bin/kill";
    private static final Duration SIGNAL_TIMEOUT = Duration.ofSeconds(5);

    private final String mName;
    private final Process mProcess;
    private final Path mLog;

    private ManagedProcess(String name, Process process, Path log) {
        mName = name;
        mProcess = process;
        mLog = log;
    }

    /** Starts a process and appends its output to the log file. */
    public static ManagedProcess start(
            String name, List<String> command, Map<String, String> environment, Path log)
            throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectInput(new File("/dev/null"))
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        return new ManagedProcess(name, builder.start(), log);
    }

    /** Returns the name of the process in the deployment. */
    public String name() {
        return mName;
    }

    /** Returns the log file. */
    public Path log() {
        return mLog;
    }

    /** Returns the process identifier. */
    public long processId() {
        return mProcess.pid();
    }

    /** Returns whether the process is alive; a frozen process is. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Asks the process to stop gracefully (SIGTERM). */
    public void terminate() {
        mProcess.destroy();
    }

    /** Kills the process (SIGKILL). */
    public void kill() {
        mProcess.destroyForcibly();
    }

    /** Freezes the process (SIGSTOP); a process cannot handle this signal. */
    public void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Resumes a frozen process (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        Process kill =
                new ProcessBuilder(KILL, signal, String.valueOf(mProcess.pid()))
                        .inheritIO()
                        .start();
        boolean hasEnded = kill.waitFor(SIGNAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        if (!hasEnded || kill.exitValue() != 0) {
            kill.destroyForcibly();
            throw new IOException(
                    "cannot send " + signal + " to " + mName + ", process " + mProcess.pid());
        }
    }

    /** Waits until the process exits; returns whether it exited in time. */
    public boolean awaitExit(Duration timeout) throws InterruptedException {
        return mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the exit status; it is 143 after a SIGTERM that the program does not handle.
     *
     * @throws IllegalThreadStateException if the process is still alive
     */
    public int exitStatus() {
        return mProcess.exitValue();
    }
}
