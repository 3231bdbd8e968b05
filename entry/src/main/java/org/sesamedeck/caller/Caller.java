package org.sesamedeck.caller;

import org.sesamedeck.core.ClientAccount;
import org.sesamedeck.core.Entitlement;
import org.sesamedeck.core.Plan;

/**
 * Authenticated sender of a request and its entitlement.
 *
 * @param clientAccount client account that the key belongs to
 * @param plan plan of the client account
 * @param entitlement models, services and regions that the plan may use
 */
record Caller(ClientAccount clientAccount, Plan plan, Entitlement entitlement) {}
