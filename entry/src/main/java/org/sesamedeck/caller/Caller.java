package org.sesamedeck.caller;

import org.sesamedeck.core.ClientAccount;
import org.sesamedeck.core.Entitlement;
import org.sesamedeck.core.Plan;

/**
 * Who sent a request and what they may use.
 *
 * @param customer the customer whose key was given
 * @param plan plan of the customer
 * @param entitlement what the plan may use
 */
record Caller(ClientAccount customer, Plan plan, Entitlement entitlement) {}
