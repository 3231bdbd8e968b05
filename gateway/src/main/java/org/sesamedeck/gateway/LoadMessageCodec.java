package org.sesamedeck.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.routing.AccountUsage;
import org.sesamedeck.routing.EndpointLoad;
import org.sesamedeck.routing.LoadMessage;
import org.sesamedeck.routing.LoadScope;
import org.sesamedeck.routing.PrefixUpdate;
import org.sesamedeck.routing.StoreProgress;
import org.sesamedeck.routing.UsageSummary;
import org.sesamedeck.wire.generated.AccountUsageShare;
import org.sesamedeck.wire.generated.AccountWorkShare;
import org.sesamedeck.wire.generated.EndpointShare;
import org.sesamedeck.wire.generated.LoadShare;
import org.sesamedeck.wire.generated.PrefixShare;
import org.sesamedeck.wire.generated.StoreProgressShare;
import org.sesamedeck.wire.generated.WireLoadScope;

/** Translates load messages between the routing module and datagrams. */
final class LoadMessageCodec {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Senders name some ten accounts. */
    private static final int MAX_ACCOUNTS = 64;

    private LoadMessageCodec() {}

    static byte[] encode(LoadMessage message) {
        LoadShare.Builder share =
                LoadShare.newBuilder()
                        .setNode(message.sender())
                        .setIncarnation(message.incarnation())
                        .setSequence(message.sequence())
                        .setScope(scope(message.scope()))
                        .setProcesses(message.processes())
                        .setSentMillis(message.sentMillis());
        for (EndpointLoad load : message.loads()) {
            share.addEndpoints(
                    EndpointShare.newBuilder()
                            .setEndpoint(load.endpoint())
                            .setWaitingMicros(load.waitingNanos() / NANOS_PER_MICRO)
                            .setRunning(load.running())
                            .setTokens(load.tokens())
                            .setSuspecting(load.suspecting()));
        }
        for (PrefixUpdate update : message.prefixUpdates()) {
            share.addPrefixes(
                    PrefixShare.newBuilder().setEndpoint(update.endpoint()).setHash(update.hash()));
        }
        for (StoreProgress progress : message.storeProgress()) {
            share.addStoreProgress(
                    StoreProgressShare.newBuilder()
                            .setKind(progress.kind())
                            .setChangedRevision(progress.changedRevision())
                            .setConfirmedAgeMillis(
                                    (int)
                                            Math.min(
                                                    Integer.MAX_VALUE,
                                                    progress.confirmedAgeNanos()
                                                            / NANOS_PER_MILLI)));
        }
        message.usage().ifPresent(usage -> share.setAccountUsage(encode(usage)));
        return share.build().toByteArray();
    }

    private static AccountUsageShare encode(UsageSummary usage) {
        AccountUsageShare.Builder share =
                AccountUsageShare.newBuilder()
                        .setOtherWork(usage.otherWork())
                        .setAccounts(usage.accounts());
        for (AccountUsage account : usage.heaviest()) {
            share.addHeaviest(
                    AccountWorkShare.newBuilder()
                            .setAccount(account.account())
                            .setWork(account.work()));
        }
        return share.build();
    }

    /** Returns the message; empty for bytes of unrelated senders, which may arrive at any port. */
    static Optional<LoadMessage> decode(byte[] bytes) {
        LoadShare share;
        try {
            share = LoadShare.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            return Optional.empty();
        }
        return scope(share.getScope()).map(scope -> message(share, scope));
    }

    private static LoadMessage message(LoadShare share, LoadScope scope) {
        List<EndpointLoad> loads = new ArrayList<>(share.getEndpointsCount());
        for (EndpointShare endpoint : share.getEndpointsList()) {
            loads.add(
                    new EndpointLoad(
                            endpoint.getEndpoint(),
                            endpoint.getWaitingMicros() * NANOS_PER_MICRO,
                            endpoint.getRunning(),
                            endpoint.getTokens(),
                            endpoint.getSuspecting()));
        }
        List<PrefixUpdate> updates = new ArrayList<>(share.getPrefixesCount());
        for (PrefixShare prefix : share.getPrefixesList()) {
            updates.add(new PrefixUpdate(prefix.getEndpoint(), prefix.getHash()));
        }
        return new LoadMessage(
                share.getNode(),
                share.getIncarnation(),
                share.getSequence(),
                scope,
                loads,
                updates,
                storeProgress(share),
                share.hasAccountUsage()
                        ? Optional.of(usage(share.getAccountUsage()))
                        : Optional.empty(),
                share.getProcesses(),
                share.getSentMillis());
    }

    private static UsageSummary usage(AccountUsageShare share) {
        List<AccountUsage> heaviest =
                share.getHeaviestList().stream()
                        .limit(MAX_ACCOUNTS)
                        .map(account -> new AccountUsage(account.getAccount(), account.getWork()))
                        .toList();
        return new UsageSummary(heaviest, share.getOtherWork(), share.getAccounts());
    }

    private static List<StoreProgress> storeProgress(LoadShare share) {
        List<StoreProgress> progress = new ArrayList<>(share.getStoreProgressCount());
        for (StoreProgressShare told : share.getStoreProgressList()) {
            progress.add(
                    new StoreProgress(
                            told.getKind(),
                            told.getChangedRevision(),
                            Integer.toUnsignedLong(told.getConfirmedAgeMillis())
                                    * NANOS_PER_MILLI));
        }
        return progress;
    }

    private static WireLoadScope scope(LoadScope scope) {
        return switch (scope) {
            case PROCESS -> WireLoadScope.LOAD_SCOPE_PROCESS;
            case GROUP -> WireLoadScope.LOAD_SCOPE_GROUP;
            case FLEET -> WireLoadScope.LOAD_SCOPE_FLEET;
        };
    }

    /** Returns the scope; empty for one that a later version of this program may have added. */
    private static Optional<LoadScope> scope(WireLoadScope scope) {
        return switch (scope) {
            case LOAD_SCOPE_PROCESS -> Optional.of(LoadScope.PROCESS);
            case LOAD_SCOPE_GROUP -> Optional.of(LoadScope.GROUP);
            case LOAD_SCOPE_FLEET -> Optional.of(LoadScope.FLEET);
            default -> Optional.empty();
        };
    }
}
