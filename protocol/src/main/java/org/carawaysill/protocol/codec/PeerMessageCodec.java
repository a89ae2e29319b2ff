package org.carawaysill.protocol.codec;

import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.AttemptBody;
import org.carawaysill.policy.message.PeerMessage.CancelAttempt;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.policy.message.PeerMessage.ConfigurationWanted;
import org.carawaysill.policy.message.PeerMessage.CopyAnswer;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.DrainNotice;
import org.carawaysill.policy.message.PeerMessage.Entries;
import org.carawaysill.policy.message.PeerMessage.EntriesWanted;
import org.carawaysill.policy.message.PeerMessage.FleetSummary;
import org.carawaysill.policy.message.PeerMessage.GroupSummary;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.PeerAnswer;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.PlaceGranted;
import org.carawaysill.policy.message.PeerMessage.ReportWanted;
import org.carawaysill.policy.message.PeerMessage.Suspicions;
import org.carawaysill.policy.message.PeerMessage.WithdrawAttempt;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.protocol.generated.DrainNoticeFrame;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.generated.ReportWantedFrame;

/**
 * Encodes the policy's messages as frames and decodes them.
 *
 * <p>Invariants: every message can be encoded; decoding yields an equal message, except that durations are clamped to 0
 * to 30 days and that text which is not well-formed UTF-16 changes; decoding any frame yields a message or throws a
 * {@link ProtocolFault}, and nothing else. Stateless and thread safe.
 */
public final class PeerMessageCodec {

    private PeerMessageCodec() {}

    /**
     * Encodes a message as a frame.
     *
     * @param message the message
     * @return the frame, which refers to the bytes of the message's body without copying them
     */
    public static Frame encode(PeerMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        switch (message) {
            case PeerRequest request -> frame.setPeerRequest(RequestCodec.encode(request));
            case PeerAnswer answer -> frame.setPeerAnswer(RequestCodec.encode(answer));
            case CancelAttempt cancel -> frame.setCancelAttempt(RequestCodec.encode(cancel));
            case DrainNotice _ -> frame.setDrainNotice(DrainNoticeFrame.getDefaultInstance());
            case Heartbeat heartbeat -> frame.setHeartbeat(HeartbeatCodec.encode(heartbeat));
            case LeaseRequest request -> frame.setLeaseRequest(LeaseCodec.encode(request));
            case LeaseReply reply -> frame.setLeaseReply(LeaseCodec.encode(reply));
            case HolderHandover handover -> frame.setHolderHandover(HandoverCodec.encode(handover));
            case ConfigurationWanted wanted -> frame.setConfigurationWanted(ConfigurationCodec.encode(wanted));
            case ConfigurationDocument document -> frame.setConfigurationDocument(ConfigurationCodec.encode(document));
            case ConfigurationChange change -> frame.setConfigurationChange(ConfigurationCodec.encode(change));
            case CopyRequest request -> frame.setCopyRequest(FleetCodec.encode(request));
            case CopyAnswer answer -> frame.setCopyAnswer(FleetCodec.encode(answer));
            case NodeReport report -> frame.setNodeReport(FleetCodec.encode(report));
            case ReportWanted _ -> frame.setReportWanted(ReportWantedFrame.getDefaultInstance());
            case GroupSummary(StateSummary summary) -> frame.setGroupSummary(SummaryCodec.encode(summary));
            case FleetSummary(StateSummary summary) -> frame.setFleetSummary(SummaryCodec.encode(summary));
            case EntriesWanted wanted -> frame.setEntriesWanted(EntryCodec.encode(wanted));
            case Entries entries -> frame.setEntries(EntryCodec.encode(entries));
            case Suspicions suspicions -> frame.setSuspicions(SuspicionCodec.encode(suspicions));
            case PlaceGranted granted -> frame.setPlaceGranted(FleetCodec.encode(granted));
            case AttemptBody body -> frame.setAttemptBody(FleetCodec.encode(body));
            case WithdrawAttempt withdraw -> frame.setWithdrawAttempt(FleetCodec.encode(withdraw));
        }
        return frame.build();
    }

    /**
     * Decodes the message in a frame.
     *
     * @param frame the frame
     * @return the message
     * @throws ProtocolFault if the frame holds no message, or a malformed one
     */
    public static PeerMessage decode(Frame frame) throws ProtocolFault {
        return switch (frame.getKindCase()) {
            case PEER_REQUEST -> RequestCodec.decode(frame.getPeerRequest());
            case PEER_ANSWER -> RequestCodec.decode(frame.getPeerAnswer());
            case CANCEL_ATTEMPT -> RequestCodec.decode(frame.getCancelAttempt());
            case DRAIN_NOTICE -> new DrainNotice();
            case HEARTBEAT -> HeartbeatCodec.decode(frame.getHeartbeat());
            case LEASE_REQUEST -> LeaseCodec.decode(frame.getLeaseRequest());
            case LEASE_REPLY -> LeaseCodec.decode(frame.getLeaseReply());
            case HOLDER_HANDOVER -> HandoverCodec.decode(frame.getHolderHandover());
            case CONFIGURATION_WANTED -> ConfigurationCodec.decode(frame.getConfigurationWanted());
            case CONFIGURATION_DOCUMENT -> ConfigurationCodec.decode(frame.getConfigurationDocument());
            case CONFIGURATION_CHANGE -> ConfigurationCodec.decode(frame.getConfigurationChange());
            case COPY_REQUEST -> FleetCodec.decode(frame.getCopyRequest());
            case COPY_ANSWER -> FleetCodec.decode(frame.getCopyAnswer());
            case NODE_REPORT -> FleetCodec.decode(frame.getNodeReport());
            case REPORT_WANTED -> new ReportWanted();
            case GROUP_SUMMARY -> new GroupSummary(SummaryCodec.decode(frame.getGroupSummary()));
            case FLEET_SUMMARY -> new FleetSummary(SummaryCodec.decode(frame.getFleetSummary()));
            case ENTRIES_WANTED -> EntryCodec.decode(frame.getEntriesWanted());
            case ENTRIES -> EntryCodec.decode(frame.getEntries());
            case SUSPICIONS -> SuspicionCodec.decode(frame.getSuspicions());
            case PLACE_GRANTED -> FleetCodec.decode(frame.getPlaceGranted());
            case ATTEMPT_BODY -> FleetCodec.decode(frame.getAttemptBody());
            case WITHDRAW_ATTEMPT -> FleetCodec.decode(frame.getWithdrawAttempt());
            case HELLO, ACCEPTED, REFUSED, PROBE, PROBE_REPLY, KIND_NOT_SET ->
                throw new ProtocolFault(
                        ProtocolFault.Kind.UNEXPECTED_FRAME, frame.getKindCase().name());
        };
    }
}
