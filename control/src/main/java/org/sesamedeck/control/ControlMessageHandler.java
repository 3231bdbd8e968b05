package org.sesamedeck.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.control.claim.ClaimForwarder;
import org.sesamedeck.control.engine.RolePlanCoordinator;
import org.sesamedeck.control.entry.EntryLink;
import org.sesamedeck.control.status.StatusReporter;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.MessageHandler;
import org.sesamedeck.wire.generated.Envelope;

/** Dispatches messages from peers and from the entry process on the control thread. */
public final class ControlMessageHandler implements MessageHandler {
    private final ControlScheduler mScheduler;
    private final CoordinationNode mNode;
    private final EntryLink mEntryLink;
    private final ClaimForwarder mClaimForwarder;
    private final StatusReporter mStatusReporter;
    private final RolePlanCoordinator mRolePlanCoordinator;

    private ControlMessageHandler(
            ControlScheduler scheduler,
            CoordinationNode node,
            EntryLink entryLink,
            ClaimForwarder claimForwarder,
            StatusReporter statusReporter,
            RolePlanCoordinator rolePlanCoordinator) {
        mScheduler = scheduler;
        mNode = node;
        mEntryLink = entryLink;
        mClaimForwarder = claimForwarder;
        mStatusReporter = statusReporter;
        mRolePlanCoordinator = rolePlanCoordinator;
    }

    /** Returns a handler that dispatches to the given components. */
    public static ControlMessageHandler create(
            ControlScheduler scheduler,
            CoordinationNode node,
            EntryLink entryLink,
            ClaimForwarder claimForwarder,
            StatusReporter statusReporter,
            RolePlanCoordinator rolePlanCoordinator) {
        return new ControlMessageHandler(
                scheduler, node, entryLink, claimForwarder, statusReporter, rolePlanCoordinator);
    }

    @Override
    public CompletableFuture<Optional<Envelope>> handle(
            MessageConnection connection, Envelope message) {
        CompletableFuture<Optional<Envelope>> result = new CompletableFuture<>();
        mScheduler.execute(
                () -> {
                    try {
                        dispatch(connection, message)
                                .whenComplete(
                                        (reply, failure) -> {
                                            if (failure == null) {
                                                result.complete(Optional.of(reply));
                                            } else {
                                                result.completeExceptionally(failure);
                                            }
                                        });
                    } catch (RuntimeException failure) {
                        result.completeExceptionally(failure);
                    }
                });
        return result;
    }

    private CompletableFuture<Envelope> dispatch(MessageConnection connection, Envelope message) {
        boolean isFromEntry = mEntryLink.isEntry(connection);
        switch (message.getBodyCase()) {
            case ENTRY_HELLO:
                return completed(mEntryLink.onHello(connection, message.getEntryHello()));
            case USAGE_REPORT:
                mEntryLink.onUsageReport(message.getUsageReport());
                return completed(Envelopes.acknowledgement());
            case CLAIM_REQUEST:
                return mClaimForwarder.onClaim(message.getClaimRequest(), isFromEntry);
            case CLAIM_COMPLETION:
                return mClaimForwarder.onCompletion(message.getClaimCompletion(), isFromEntry);
            case NODE_STATUS:
                mStatusReporter.onStatus(message.getNodeStatus());
                return completed(Envelopes.acknowledgement());
            case DOCUMENT_REQUEST:
                return mRolePlanCoordinator
                        .onRequest(message.getDocumentRequest())
                        .map(reply -> Envelopes.builder().setDocumentReply(reply).build())
                        .map(ControlMessageHandler::completed)
                        .orElseGet(() -> handleByNode(message));
            default:
                return handleByNode(message);
        }
    }

    private CompletableFuture<Envelope> handleByNode(Envelope message) {
        return mNode.handle(message)
                .orElseGet(
                        () ->
                                CompletableFuture.failedFuture(
                                        SesamedeckException.of(
                                                ResultCode.UNSUPPORTED_MESSAGE,
                                                "body " + message.getBodyCase())));
    }

    private static CompletableFuture<Envelope> completed(Envelope reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
