package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.policy.message.PeerMessage.HolderEntry;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.protocol.generated.HolderEntryFrame;
import org.carawaysill.protocol.generated.HolderHandoverFrame;

/** Encodes and decodes the entries that a leaving holder hands over. Stateless and thread safe. */
final class HandoverCodec {

    private HandoverCodec() {}

    static HolderHandoverFrame encode(HolderHandover handover) {
        HolderHandoverFrame.Builder frame = HolderHandoverFrame.newBuilder()
                .setService(handover.service().value())
                .setRosterDigest(handover.rosterDigest())
                .setVouchedFromMillis(handover.vouchedFromMillis())
                .setVouchedUntilMillis(handover.vouchedUntilMillis())
                .setPart(handover.part())
                .setParts(handover.parts());
        handover.entries().forEach(entry -> frame.addEntries(encode(entry)));
        return frame.build();
    }

    private static HolderEntryFrame encode(HolderEntry entry) {
        HolderEntryFrame.Builder frame = HolderEntryFrame.newBuilder()
                .setRequest(Fields.identifier(entry.request()))
                .setContentHash(entry.contentHash());
        entry.mintedMillis().ifPresent(frame::setMintedMillis);
        entry.outcome().map(OutcomeCodec::encode).ifPresent(frame::setOutcome);
        return frame.build();
    }

    static HolderHandover decode(HolderHandoverFrame frame) throws ProtocolFault {
        List<HolderEntry> entries = new ArrayList<>(frame.getEntriesCount());
        for (HolderEntryFrame entry : frame.getEntriesList()) {
            entries.add(decode(entry));
        }
        return new HolderHandover(
                Fields.service(frame.getService()),
                frame.getRosterDigest(),
                frame.getVouchedFromMillis(),
                frame.getVouchedUntilMillis(),
                Math.toIntExact(Fields.notNegative(frame.getPart(), "part")),
                Math.toIntExact(Fields.notNegative(frame.getParts(), "parts")),
                entries);
    }

    private static HolderEntry decode(HolderEntryFrame frame) throws ProtocolFault {
        return new HolderEntry(
                Fields.request(frame.hasRequest(), frame.getRequest()),
                frame.hasMintedMillis() ? OptionalLong.of(frame.getMintedMillis()) : OptionalLong.empty(),
                frame.getContentHash(),
                frame.hasOutcome() ? Optional.of(OutcomeCodec.decode(frame.getOutcome())) : Optional.empty());
    }
}
