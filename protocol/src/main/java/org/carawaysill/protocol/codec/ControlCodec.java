package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.HolderEntry;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.protocol.generated.HeartbeatFrame;
import org.carawaysill.protocol.generated.HolderEntryFrame;
import org.carawaysill.protocol.generated.HolderHandoverFrame;
import org.carawaysill.protocol.generated.LeaseReplyFrame;
import org.carawaysill.protocol.generated.LeaseRequestFrame;

/** Translates heartbeats, leases and handovers. Stateless and thread safe. */
final class ControlCodec {

    private ControlCodec() {}

    static HeartbeatFrame encode(Heartbeat heartbeat) {
        HeartbeatFrame.Builder frame = HeartbeatFrame.newBuilder()
                .setSequence(heartbeat.sequence())
                .setLoad(LoadCodec.encode(heartbeat.load()));
        heartbeat.versions().forEach((service, version) -> frame.putVersions(service.value(), version));
        return frame.build();
    }

    static Heartbeat decode(HeartbeatFrame frame) throws ProtocolFault {
        Map<ServiceName, Long> versions = new HashMap<>();
        for (Map.Entry<String, Long> entry : frame.getVersionsMap().entrySet()) {
            versions.put(Fields.service(entry.getKey()), Fields.notNegative(entry.getValue(), "version"));
        }
        return new Heartbeat(
                Fields.notNegative(frame.getSequence(), "sequence"),
                LoadCodec.decode(frame.hasLoad(), frame.getLoad()),
                versions);
    }

    static LeaseRequestFrame encode(LeaseRequest request) {
        return LeaseRequestFrame.newBuilder()
                .setService(request.service().value())
                .setRosterVersion(request.rosterVersion())
                .setIncarnation(request.incarnation())
                .setSequence(request.sequence())
                .setDurationNanos(Fields.fittingNanos(request.durationNanos()))
                .build();
    }

    static LeaseRequest decode(LeaseRequestFrame frame) throws ProtocolFault {
        return new LeaseRequest(
                Fields.service(frame.getService()),
                Fields.notNegative(frame.getRosterVersion(), "roster version"),
                Fields.notNegative(frame.getIncarnation(), "incarnation"),
                Fields.notNegative(frame.getSequence(), "sequence"),
                Fields.durationNanos(frame.getDurationNanos(), "lease duration"));
    }

    static LeaseReplyFrame encode(LeaseReply reply) {
        return LeaseReplyFrame.newBuilder()
                .setService(reply.service().value())
                .setRosterVersion(reply.rosterVersion())
                .setSequence(reply.sequence())
                .setGranted(reply.granted())
                .setHighestVersion(reply.highestVersion())
                .build();
    }

    static LeaseReply decode(LeaseReplyFrame frame) throws ProtocolFault {
        return new LeaseReply(
                Fields.service(frame.getService()),
                Fields.notNegative(frame.getRosterVersion(), "roster version"),
                Fields.notNegative(frame.getSequence(), "sequence"),
                frame.getGranted(),
                Fields.notNegative(frame.getHighestVersion(), "highest version"));
    }

    static HolderHandoverFrame encode(HolderHandover handover) {
        HolderHandoverFrame.Builder frame = HolderHandoverFrame.newBuilder()
                .setService(handover.service().value())
                .setLast(handover.last());
        handover.entries().forEach(entry -> frame.addEntries(encode(entry)));
        return frame.build();
    }

    private static HolderEntryFrame encode(HolderEntry entry) {
        HolderEntryFrame.Builder frame = HolderEntryFrame.newBuilder().setRequest(Fields.identifier(entry.request()));
        entry.outcome().map(OutcomeCodec::encode).ifPresent(frame::setOutcome);
        return frame.build();
    }

    static HolderHandover decode(HolderHandoverFrame frame) throws ProtocolFault {
        List<HolderEntry> entries = new ArrayList<>(frame.getEntriesCount());
        for (HolderEntryFrame entry : frame.getEntriesList()) {
            entries.add(decode(entry));
        }
        return new HolderHandover(Fields.service(frame.getService()), entries, frame.getLast());
    }

    private static HolderEntry decode(HolderEntryFrame frame) throws ProtocolFault {
        return new HolderEntry(
                Fields.request(frame.hasRequest(), frame.getRequest()),
                frame.hasOutcome() ? Optional.of(OutcomeCodec.decode(frame.getOutcome())) : Optional.empty());
    }
}
