package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.emulator.http.Exchange;
import org.sesamedeck.emulator.http.Json;

/**
 * Applies commands one at a time. A role change refuses all queued and new requests as not executed
 * and waits until the running sequences are finished; then its configured duration starts. Confined
 * to the event loop.
 */
final class CommandProcessor {
    private static final int MAX_RETAINED_COMMANDS = 5_000;

    private final EngineSettings mSettings;
    private final Clock mClock;
    private final ScheduledExecutorService mEventLoop;
    private final BatchScheduler mScheduler;
    private final PrefixCache mCache;
    private final Set<String> mModels;
    private final Set<String> mAdapters = new TreeSet<>();
    private final ArrayNode mAppliedCommands = Json.array();
    private final ArrayNode mRejectedCommands = Json.array();
    private String mModelVersion = "1";
    private String mCommandIdInProgress = "";
    private String mLastCommandId = "";
    private long mHighestFencingNumber;
    private boolean mIsDraining;
    private boolean mIsChangingRole;

    private CommandProcessor(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService eventLoop,
            BatchScheduler scheduler,
            PrefixCache cache) {
        mSettings = settings;
        mClock = clock;
        mEventLoop = eventLoop;
        mScheduler = scheduler;
        mCache = cache;
        mModels = new TreeSet<>(settings.models());
    }

    static CommandProcessor of(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService eventLoop,
            BatchScheduler scheduler,
            PrefixCache cache) {
        return new CommandProcessor(settings, clock, eventLoop, scheduler, cache);
    }

    boolean isDraining() {
        return mIsDraining;
    }

    boolean isChangingRole() {
        return mIsChangingRole;
    }

    boolean hasModel(String model) {
        return mModels.contains(model) || mAdapters.contains(model);
    }

    ObjectNode state() {
        ObjectNode state = Json.object().put("name", mSettings.name());
        state.put("role", mScheduler.role().label());
        ArrayNode models = state.putArray("models");
        mModels.forEach(models::add);
        ArrayNode adapters = state.putArray("adapters");
        mAdapters.forEach(adapters::add);
        state.put("version", mModelVersion);
        state.put(
                "commandInProgress", mCommandIdInProgress.isEmpty() ? null : mCommandIdInProgress);
        state.put("lastCommand", mLastCommandId.isEmpty() ? null : mLastCommandId);
        state.put("highestFencingNumber", mHighestFencingNumber);
        state.put("checksFencing", mSettings.isFencingChecked());
        return state.put("draining", mIsDraining).put("changing", mIsChangingRole);
    }

    /** Returns the applied and the rejected commands as separate lists, oldest first. */
    ObjectNode history() {
        ObjectNode json = Json.object();
        json.set("commands", mAppliedCommands);
        json.set("rejected", mRejectedCommands);
        return json;
    }

    /**
     * Handles a command; closes a connection above the age limit without a response. A repetition
     * of the command in progress or of the last completed one is not applied again.
     */
    void handle(Exchange exchange) {
        Duration limit = mSettings.commandConnectionLimit();
        long age = mClock.nanoTime() - exchange.acceptedNanos();
        if (!limit.isZero() && age > limit.toNanos()) {
            mRejectedCommands
                    .addObject()
                    .put("reason", "CONNECTION_TOO_OLD")
                    .put("text", exchange.body());
            exchange.abort();
            return;
        }
        JsonNode body = Json.parse(exchange.body());
        Command command =
                new Command(
                        requiredText(body, "id", "commandId"),
                        body.path("fencingNumber").asLong(0),
                        requiredText(body, "kind"),
                        body.path("arguments"));
        if (mSettings.isFencingChecked() && command.fencingNumber() < mHighestFencingNumber) {
            reject(exchange, command, "STALE_FENCING_NUMBER");
            return;
        }
        if (!mCommandIdInProgress.isEmpty() && !mCommandIdInProgress.equals(command.id())) {
            reject(exchange, command, "COMMAND_IN_PROGRESS");
            return;
        }
        mHighestFencingNumber = Math.max(mHighestFencingNumber, command.fencingNumber());
        if (mCommandIdInProgress.equals(command.id())) {
            exchange.respond(202, state());
        } else if (mLastCommandId.equals(command.id())) {
            exchange.respond(200, state());
        } else {
            int status = apply(command) ? 200 : 202;
            exchange.respond(status, state());
        }
    }

    private void reject(Exchange exchange, Command command, String reason) {
        mRejectedCommands.add(toJson(command).put("reason", reason));
        ObjectNode body = state();
        body.putObject("error").put("name", reason).put("message", reason + " " + command.id());
        exchange.respond(409, body);
    }

    private ObjectNode toJson(Command command) {
        ObjectNode entry =
                Json.object()
                        .put("id", command.id())
                        .put("kind", command.kind())
                        .put("fencingNumber", command.fencingNumber())
                        .put("at", mClock.now().toString());
        entry.set("arguments", command.arguments());
        return entry;
    }

    /** Starts a command and returns whether it has already completed. */
    private boolean apply(Command command) {
        JsonNode arguments = command.arguments();
        Runnable effect;
        Duration duration = mSettings.modelLoadDuration();
        switch (command.kind()) {
            case "SET_ROLE":
                EngineRole role = EngineRole.parse(requiredText(arguments, "role"));
                record(command);
                if (role == mScheduler.role()) {
                    mLastCommandId = command.id();
                    return true;
                }
                mCommandIdInProgress = command.id();
                mIsChangingRole = true;
                mScheduler.quiesce(
                        () ->
                                schedule(
                                        mSettings.roleChangeDuration(),
                                        () -> finishRoleChange(command, role)));
                return false;
            case "LOAD_MODEL":
                String model = requiredText(arguments, "model");
                effect =
                        () -> {
                            mModels.add(model);
                            mModelVersion = arguments.path("version").asText(mModelVersion);
                        };
                break;
            case "LOAD_ADAPTER":
                String adapter = requiredText(arguments, "adapter");
                effect = () -> mAdapters.add(adapter);
                break;
            case "UNLOAD_MODEL":
                String unloaded = requiredText(arguments, "model");
                effect = () -> mModels.remove(unloaded);
                duration = Duration.ZERO;
                break;
            case "DRAIN":
                effect = () -> mIsDraining = true;
                duration = Duration.ZERO;
                break;
            case "UNDRAIN":
                effect = () -> mIsDraining = false;
                duration = Duration.ZERO;
                break;
            case "FENCE":
                // Only raises the highest fencing number, which has already happened.
                effect = () -> {};
                duration = Duration.ZERO;
                break;
            default:
                throw new IllegalArgumentException("unknown command kind " + command.kind());
        }
        record(command);
        if (duration.isZero()) {
            effect.run();
            mLastCommandId = command.id();
            return true;
        }
        mCommandIdInProgress = command.id();
        schedule(duration, () -> finish(command, effect));
        return false;
    }

    private void record(Command command) {
        mAppliedCommands.add(toJson(command));
        if (mAppliedCommands.size() > MAX_RETAINED_COMMANDS) {
            mAppliedCommands.remove(0);
        }
    }

    private void schedule(Duration duration, Runnable task) {
        mEventLoop.schedule(task, duration.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void finish(Command command, Runnable effect) {
        effect.run();
        mCommandIdInProgress = "";
        mLastCommandId = command.id();
    }

    private void finishRoleChange(Command command, EngineRole role) {
        mCache.clear();
        mIsChangingRole = false;
        finish(command, () -> mScheduler.resumeAdmission(role));
    }

    /** Returns the value of the first non-empty field among the given names. */
    private static String requiredText(JsonNode body, String... names) {
        for (String name : names) {
            if (!body.path(name).asText("").isEmpty()) {
                return body.path(name).asText();
            }
        }
        throw new IllegalArgumentException("a command needs the field " + names[0]);
    }

    private record Command(String id, long fencingNumber, String kind, JsonNode arguments) {}
}
