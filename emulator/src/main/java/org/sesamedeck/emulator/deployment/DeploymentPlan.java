package org.sesamedeck.emulator.deployment;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Composition of a deployment. Entry hosts, engines and services are assigned to the regions round
 * robin; each region has one failure domain, named after it with the suffix {@code -a}.
 *
 * @param name name of the deployment
 * @param regions names of the regions
 * @param modelService service that the engines belong to
 * @param models models that each engine has loaded
 * @param plainService name of the plain service
 * @param nodes number of entry hosts, each with a control process and an entry process
 * @param engines number of engines
 * @param services number of servers of the plain service
 * @param roleChangeWeight value of the setting role-change-weight
 * @param plansText list of plans and client accounts
 * @param entitlementsText list of entitlements
 * @param keys API keys of the client accounts in that list
 * @param engineArguments additional command-line arguments of each engine
 */
public record DeploymentPlan(
        String name,
        List<String> regions,
        String modelService,
        List<String> models,
        String plainService,
        int nodes,
        int engines,
        int services,
        double roleChangeWeight,
        String plansText,
        String entitlementsText,
        List<String> keys,
        List<String> engineArguments) {
    /** Returns the region of the n-th host of a kind, counted from 0. */
    public String region(int index) {
        return regions.get(index % regions.size());
    }

    /** Returns the failure domain of the n-th host of a kind, counted from 0. */
    public String failureDomain(int index) {
        return region(index) + "-a";
    }

    /** Returns a copy of the plan with other numbers of hosts. */
    public DeploymentPlan withCounts(int newNodes, int newEngines, int newServices) {
        return with(newNodes, newEngines, newServices, plansText, engineArguments);
    }

    /** Returns a copy of the plan with other engine arguments. */
    public DeploymentPlan withEngineArguments(List<String> arguments) {
        return with(nodes, engines, services, plansText, List.copyOf(arguments));
    }

    /** Returns a copy of the plan without request and token limits, for benchmarks. */
    public DeploymentPlan withoutLimits() {
        String unlimited =
                plansText
                        .lines()
                        .filter(line -> !line.contains("-per-minute"))
                        .filter(line -> !line.startsWith("concurrent-requests"))
                        .collect(Collectors.joining("\n", "", "\n"));
        return with(nodes, engines, services, unlimited, engineArguments);
    }

    private DeploymentPlan with(
            int newNodes,
            int newEngines,
            int newServices,
            String newPlansText,
            List<String> newEngineArguments) {
        return new DeploymentPlan(
                name,
                regions,
                modelService,
                models,
                plainService,
                newNodes,
                newEngines,
                newServices,
                roleChangeWeight,
                newPlansText,
                entitlementsText,
                keys,
                newEngineArguments);
    }
}
