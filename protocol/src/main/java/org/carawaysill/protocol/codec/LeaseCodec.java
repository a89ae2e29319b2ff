package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.message.PeerMessage.RosterView;
import org.carawaysill.protocol.generated.LeaseReplyFrame;
import org.carawaysill.protocol.generated.LeaseRequestFrame;
import org.carawaysill.protocol.generated.RosterMemberFrame;
import org.carawaysill.protocol.generated.RosterViewFrame;

/** Encodes and decodes lease requests and their replies. Stateless and thread safe. */
final class LeaseCodec {

    private static final int MAXIMUM_PORT = 65_535;

    private LeaseCodec() {}

    static LeaseRequestFrame encode(LeaseRequest request) {
        LeaseRequestFrame.Builder frame = LeaseRequestFrame.newBuilder()
                .setService(request.service().value())
                .setRequester(encode(request.requester()))
                .setIncarnation(request.incarnation())
                .setWallMillis(request.wallMillis())
                .setSequence(request.sequence())
                .setDurationNanos(Fields.clampedNanos(request.durationNanos()))
                .setRosterVersion(request.rosterVersion())
                .setRosterDigest(request.rosterDigest())
                .setPreviousDigest(request.previousDigest())
                .setClosedBelow(request.closedBelow())
                .setClosedForNanos(request.closedForNanos());
        request.rosters().forEach(roster -> frame.addRosters(encode(roster)));
        return frame.build();
    }

    static LeaseRequest decode(LeaseRequestFrame frame) throws ProtocolFault {
        return new LeaseRequest(
                Fields.service(frame.getService()),
                decode(frame.getRequester()),
                Fields.notNegative(frame.getIncarnation(), "incarnation"),
                Fields.notNegative(frame.getWallMillis(), "wall clock"),
                Fields.notNegative(frame.getSequence(), "sequence"),
                Fields.durationNanos(frame.getDurationNanos(), "lease duration"),
                Fields.notNegative(frame.getRosterVersion(), "roster version"),
                frame.getRosterDigest(),
                frame.getPreviousDigest(),
                Fields.notNegative(frame.getClosedBelow(), "closed version"),
                Fields.notNegative(frame.getClosedForNanos(), "closed time"),
                decode(frame.getRostersList()));
    }

    static LeaseReplyFrame encode(LeaseReply reply) {
        LeaseReplyFrame.Builder frame = LeaseReplyFrame.newBuilder()
                .setService(reply.service().value())
                .setGranter(encode(reply.granter()))
                .setSequence(reply.sequence())
                .setVerdict(Codes.of(reply.verdict()))
                .setRecovering(reply.recovering())
                .setFreeNanos(reply.freeNanos())
                .setFreeForUnmovedNanos(reply.freeForUnmovedNanos())
                .setHighestVersion(reply.highestVersion())
                .setClosedBelow(reply.closedBelow())
                .setClosedForNanos(reply.closedForNanos());
        reply.rosters().forEach(roster -> frame.addRosters(encode(roster)));
        return frame.build();
    }

    static LeaseReply decode(LeaseReplyFrame frame) throws ProtocolFault {
        return new LeaseReply(
                Fields.service(frame.getService()),
                decode(frame.getGranter()),
                Fields.notNegative(frame.getSequence(), "sequence"),
                Codes.verdict(frame.getVerdict()),
                frame.getRecovering(),
                Fields.notNegative(frame.getFreeNanos(), "free time"),
                Fields.notNegative(frame.getFreeForUnmovedNanos(), "free time for unmoved work"),
                Fields.notNegative(frame.getHighestVersion(), "highest version"),
                Fields.notNegative(frame.getClosedBelow(), "closed version"),
                Fields.notNegative(frame.getClosedForNanos(), "closed time"),
                decode(frame.getRostersList()));
    }

    private static RosterViewFrame encode(RosterView roster) {
        RosterViewFrame.Builder frame = RosterViewFrame.newBuilder().setVersion(roster.version());
        roster.members().forEach(member -> frame.addMembers(encode(member)));
        return frame.build();
    }

    private static RosterMemberFrame encode(RosterMember member) {
        return RosterMemberFrame.newBuilder()
                .setNode(member.node().value())
                .setHost(member.host())
                .setPort(member.port())
                .build();
    }

    private static List<RosterView> decode(List<RosterViewFrame> frames) throws ProtocolFault {
        List<RosterView> rosters = new ArrayList<>(frames.size());
        for (RosterViewFrame frame : frames) {
            List<RosterMember> members = new ArrayList<>(frame.getMembersCount());
            for (RosterMemberFrame member : frame.getMembersList()) {
                members.add(decode(member));
            }
            rosters.add(new RosterView(Fields.notNegative(frame.getVersion(), "roster version"), members));
        }
        return rosters;
    }

    private static RosterMember decode(RosterMemberFrame frame) throws ProtocolFault {
        if (frame.getNode().isBlank() || frame.getPort() < 1 || frame.getPort() > MAXIMUM_PORT) {
            throw new ProtocolFault(ProtocolFault.Kind.OUT_OF_RANGE, "roster member");
        }
        return new RosterMember(new NodeName(frame.getNode()), frame.getHost(), frame.getPort());
    }
}
