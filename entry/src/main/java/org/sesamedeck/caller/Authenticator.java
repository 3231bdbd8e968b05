package org.sesamedeck.caller;

import jakarta.servlet.http.HttpServletRequest;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import org.sesamedeck.core.ClientAccount;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.entry.control.ControlClient;

/** Authenticates a request by its API key. */
final class Authenticator {
    private static final String SCHEME = "Bearer ";
    private static final int MAX_KEY_CHARACTERS = 512;

    private final ControlClient mControl;

    private Authenticator(ControlClient control) {
        mControl = control;
    }

    static Authenticator of(ControlClient control) {
        return new Authenticator(control);
    }

    /**
     * Returns the client account of the key with its plan and entitlement.
     *
     * @throws CallerException with UNAUTHENTICATED when the key is missing, malformed or unknown
     */
    Caller authenticate(HttpServletRequest request) {
        String header = request.getHeader("Authorization");
        if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw CallerException.of(
                    ResultCode.UNAUTHENTICATED, "Authorization: Bearer <key> is missing");
        }
        String key = header.substring(SCHEME.length()).strip();
        if (key.isEmpty() || key.length() > MAX_KEY_CHARACTERS) {
            throw CallerException.of(ResultCode.UNAUTHENTICATED, "the key is not valid");
        }
        Configuration configuration = mControl.snapshot().configuration();
        Optional<ClientAccount> clientAccount =
                configuration.clientAccountByKeySha256(
                        HexFormat.of()
                                .formatHex(Digests.sha256(key.getBytes(StandardCharsets.UTF_8))));
        if (clientAccount.isEmpty()) {
            throw CallerException.of(ResultCode.UNAUTHENTICATED, "the key is not known");
        }
        OpenRequest openRequest = (OpenRequest) request.getAttribute(OpenRequest.ATTRIBUTE);
        openRequest.setClientAccount(clientAccount.get().name());
        return new Caller(
                clientAccount.get(),
                configuration.planOf(clientAccount.get()),
                configuration.entitlementOf(clientAccount.get()));
    }
}
