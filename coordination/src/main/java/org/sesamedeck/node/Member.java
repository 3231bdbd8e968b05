package org.sesamedeck.node;

import org.sesamedeck.core.HostAddress;
import org.sesamedeck.wire.generated.MemberUpdate;

/**
 * Last known state of one control process.
 *
 * @param name name, unique in the deployment
 * @param address address at which it listens for peers
 * @param failureDomain failure domain of its host
 * @param region region of its host
 * @param status last known status
 * @param incarnation number that only the member itself raises, to refute a false suspicion or an
 *     outdated report
 */
public record Member(
        String name,
        HostAddress address,
        String failureDomain,
        String region,
        MemberStatus status,
        long incarnation) {
    /** Returns a live member with the incarnation of a node that has just started. */
    public static Member of(String name, HostAddress address, String failureDomain, String region) {
        return new Member(name, address, failureDomain, region, MemberStatus.ALIVE, 1);
    }

    /** Returns whether the member is alive, or suspected but not yet declared dead. */
    public boolean isPresent() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    Member withStatus(MemberStatus newStatus, long newIncarnation) {
        return new Member(name, address, failureDomain, region, newStatus, newIncarnation);
    }

    boolean isNewerThan(Member other) {
        return incarnation > other.incarnation
                || (incarnation == other.incarnation && status.compareTo(other.status) > 0);
    }

    MemberUpdate toMessage() {
        return MemberUpdate.newBuilder()
                .setName(name)
                .setAddress(address.address())
                .setPort(address.port())
                .setFailureDomain(failureDomain)
                .setRegion(region)
                .setState(status.toMessage())
                .setIncarnation(incarnation)
                .build();
    }

    static Member fromMessage(MemberUpdate message) {
        return new Member(
                message.getName(),
                HostAddress.of(message.getAddress(), message.getPort()),
                message.getFailureDomain(),
                message.getRegion(),
                MemberStatus.fromMessage(message.getState()),
                message.getIncarnation());
    }
}
