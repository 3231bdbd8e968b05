package org.sesamedeck.experiment;

/** Policies for routing, admission and role planning that are compared with each other. */
enum Policy {
    /** Round robin; half of the engines stay in each role; no admission control and no shares. */
    NAIVE("naive", 0),
    /** Routing and admission of the decision core; roles change at thresholds of the demand. */
    REACTIVE("reactive", 0),
    /** The decision core with the role change weight of the Qoima deployment. */
    GOODPUT("sesamedeck, weight 0.2", 0.2),
    /** The decision core with the role change weight of the Zitouna deployment. */
    FEW_CHANGES("sesamedeck, weight 1.0", 1.0);

    private final String mTitle;
    private final double mRoleChangeWeight;

    Policy(String title, double roleChangeWeight) {
        mTitle = title;
        mRoleChangeWeight = roleChangeWeight;
    }

    String title() {
        return mTitle;
    }

    double roleChangeWeight() {
        return mRoleChangeWeight;
    }
}
