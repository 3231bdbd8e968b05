package org.sesamedeck.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.Entitlement;
import org.sesamedeck.core.Plan;

/** Workloads of the two deployments: request classes, plans and the weight of role changes. */
enum Workload {
    ZITOUNA(
            1.0,
            new RequestClass("full log", 1000, 4000, 20, 60),
            new RequestClass("summary", 200, 600, 300, 900),
            new RequestClass("one-step check", 100, 300, 1, 4),
            List.of(
                    plan("kitchens", 60, 6, 450, 31),
                    plan("trials", 30, 4, 1_000, 50),
                    plan("office", 10, 2, 2_000, 100))),
    QOIMA(
            0.2,
            new RequestClass("inspection log", 800, 3000, 30, 90),
            new RequestClass("sensor summary", 300, 900, 200, 600),
            new RequestClass("one-step check", 100, 300, 1, 4),
            List.of(
                    plan("stations", 50, 7, 450, 31),
                    plan("workshops", 30, 5, 800, 40),
                    plan("planning", 20, 2, 2_000, 100)));

    static final String MODEL = "judge";
    static final String SERVICE = "models";

    private final double mRoleChangeWeight;
    private final RequestClass mLog;
    private final RequestClass mSummary;
    private final RequestClass mCheck;
    private final List<Plan> mPlans;

    Workload(
            double roleChangeWeight,
            RequestClass log,
            RequestClass summary,
            RequestClass check,
            List<Plan> plans) {
        mRoleChangeWeight = roleChangeWeight;
        mLog = log;
        mSummary = summary;
        mCheck = check;
        mPlans = plans;
    }

    private static Plan plan(
            String name,
            double share,
            int priority,
            long firstTokenGoalMillis,
            long tokenIntervalGoalMillis) {
        return new Plan(
                name,
                share,
                priority,
                1_000_000_000L,
                1_000_000_000_000L,
                1_000_000L,
                Duration.ofMillis(firstTokenGoalMillis),
                Duration.ofMillis(tokenIntervalGoalMillis));
    }

    double roleChangeWeight() {
        return mRoleChangeWeight;
    }

    RequestClass log() {
        return mLog;
    }

    RequestClass summary() {
        return mSummary;
    }

    RequestClass check() {
        return mCheck;
    }

    List<Plan> plans() {
        return mPlans;
    }

    Configuration configuration() {
        Map<String, Plan> plans = new TreeMap<>();
        Map<String, Entitlement> entitlements = new TreeMap<>();
        for (Plan plan : mPlans) {
            plans.put(plan.name(), plan);
            entitlements.put(
                    plan.name(), new Entitlement(plan.name(), Set.of(MODEL), Set.of(), Set.of()));
        }
        return new Configuration(1, plans, Map.of(), entitlements, Map.of());
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
