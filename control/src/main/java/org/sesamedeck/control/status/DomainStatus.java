package org.sesamedeck.control.status;

import java.util.List;

/**
 * Value of {@code status/<failure-domain>}.
 *
 * @param failureDomain the failure domain
 * @param aggregator node that wrote the status
 * @param time wall-clock time of the write, ISO 8601
 * @param nodes nodes that reported within the last 15 s, ordered by name
 * @param missing nodes of the host list in this domain that did not report
 * @param endpoints endpoints of this domain, ordered by name
 */
public record DomainStatus(
        String failureDomain,
        String aggregator,
        String time,
        List<NodeReport> nodes,
        List<String> missing,
        List<EndpointReport> endpoints) {}
