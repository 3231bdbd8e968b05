package org.sesamedeck.request;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.ResultCode;

/**
 * Whether a request may run under the configuration in force, and for which client account.
 * Confined to one thread.
 *
 * <p>It is decided again whenever another configuration has come into force, so that a request that
 * still waits, or is sent once more, is held to the newest keys. A key that has moved to another
 * account gives the request that account. On public routes a request needs no key; one that carries
 * a known key belongs to the account that holds it, and any other to none.
 */
final class RequestAccess {
    private static final Set<RequestOutcome> SERVED =
            EnumSet.of(
                    RequestOutcome.SERVED,
                    RequestOutcome.SERVED_LATE,
                    RequestOutcome.FAILED_BY_ENDPOINT);

    private final RequestHandler mHandler;
    private final Optional<String> mKey;
    private final Route mRoute;
    private long mDecidedVersion;
    private boolean mIsAllowed;
    private Optional<ClientAccount> mAccount = Optional.empty();
    private Optional<Boolean> mIsSetBack = Optional.empty();

    private RequestAccess(RequestHandler handler, CallerRequest request, Route route) {
        mHandler = handler;
        mKey = request.accountKey();
        mRoute = route;
        decide(handler.configuration().orElseThrow());
    }

    /** Decides on a request under the configuration in force; there must be one. */
    static RequestAccess of(RequestHandler handler, CallerRequest request, Route route) {
        return new RequestAccess(handler, request, route);
    }

    /** Returns whether the request may run under the configuration in force. */
    boolean isAllowed() {
        ServingConfiguration configuration = mHandler.configuration().orElseThrow();
        if (configuration.version() != mDecidedVersion) {
            decide(configuration);
        }
        return mIsAllowed;
    }

    private void decide(ServingConfiguration configuration) {
        ClientAccounts accounts = configuration.accounts();
        mDecidedVersion = configuration.version();
        Optional<ClientAccount> before = mAccount;
        mAccount = mKey.flatMap(accounts::holderOf);
        if (!mAccount.equals(before)) {
            mIsSetBack = Optional.empty();
        }
        mIsAllowed = !accounts.areRequired() || mRoute.isPublic() || mAccount.isPresent();
    }

    /** Returns the account to which the request belongs, as of the last decision. */
    Optional<ClientAccount> account() {
        return mAccount;
    }

    /** Returns the priority of the account, or else of the route; 0 is the most urgent. */
    int priority() {
        return mAccount.map(account -> account.priority().orElse(mRoute.priority()))
                .orElse(mRoute.priority());
    }

    /**
     * Returns the rank of the request among others that wait. Whether it comes after those of other
     * accounts is decided when this is asked first, so that a retry keeps the rank.
     */
    QueueRank rank() {
        if (mIsSetBack.isEmpty()) {
            mIsSetBack =
                    Optional.of(
                            mAccount.map(
                                            account ->
                                                    mHandler.accountShares()
                                                            .setsBack(account.name()))
                                    .orElse(false));
        }
        return new QueueRank(priority(), mIsSetBack.get());
    }

    /** Returns the rank that the request would get now; decides nothing. */
    QueueRank presentRank() {
        boolean isSetBack =
                mAccount.map(account -> mHandler.accountShares().wouldSetBack(account.name()))
                        .orElse(false);
        return new QueueRank(priority(), isSetBack);
    }

    /** Records the end of the request, since those that are set back must not all end unserved. */
    void ended(RequestOutcome outcome) {
        if (mIsSetBack.orElse(false) && !SERVED.contains(outcome)) {
            mAccount.ifPresent(account -> mHandler.accountShares().recordUnserved(account.name()));
        }
    }

    /** Returns the refusal of a request that may not run under the configuration in force. */
    Optional<ErrorResponse> refusal() {
        return isAllowed()
                ? Optional.empty()
                : Optional.of(
                        new ErrorResponse(
                                ResultCode.UNAUTHENTICATED, refusalCause(), Optional.empty()));
    }

    /** Returns why the request may not run, without the key. */
    String refusalCause() {
        return mKey.isPresent()
                ? "the key belongs to no client account"
                : "the request carries no key of a client account";
    }
}
