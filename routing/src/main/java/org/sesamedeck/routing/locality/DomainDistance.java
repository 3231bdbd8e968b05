package org.sesamedeck.routing.locality;

/** How far apart two hosts are. */
public enum DomainDistance {
    /** Same failure domain. */
    SAME_DOMAIN,
    /** Different failure domains of one region. */
    SAME_REGION,
    /** Different regions. */
    OTHER_REGION
}
