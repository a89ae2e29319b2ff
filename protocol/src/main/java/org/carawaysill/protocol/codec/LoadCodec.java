package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.policy.message.PeerMessage.CopyPace;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;
import org.carawaysill.protocol.generated.CopyPaceFrame;
import org.carawaysill.protocol.generated.LoadReportFrame;
import org.carawaysill.protocol.generated.ServiceCutFrame;

/** Encodes and decodes load reports and admission cuts. Stateless and thread safe. */
final class LoadCodec {

    private LoadCodec() {}

    static LoadReportFrame encode(LoadReport load) {
        LoadReportFrame.Builder frame = LoadReportFrame.newBuilder()
                .setInFlight(load.inFlight())
                .setLimit(load.limit())
                .setQueued(load.queued())
                .setCut(load.cut())
                .setUnheard(load.unheard())
                .setRunSeconds(load.runSeconds());
        load.pace().ifPresent(pace -> frame.setPace(encode(pace)));
        return frame.build();
    }

    static CopyPaceFrame encode(CopyPace pace) {
        return CopyPaceFrame.newBuilder()
                .setLimitPerSecond(pace.limitPerSecond())
                .setAskedPerSecond(pace.askedPerSecond())
                .setSlots(pace.slots())
                .build();
    }

    static Optional<CopyPace> decode(boolean present, CopyPaceFrame frame) throws ProtocolFault {
        if (!present) {
            return Optional.empty();
        }
        return Optional.of(new CopyPace(
                Fields.notNegative(frame.getLimitPerSecond(), "limit per second"),
                Fields.notNegative(frame.getAskedPerSecond(), "asked per second"),
                Fields.notNegative(frame.getSlots(), "slots")));
    }

    static LoadReport decode(boolean present, LoadReportFrame frame) throws ProtocolFault {
        Fields.requirePresent(present, "load");
        return new LoadReport(
                Fields.notNegative(frame.getInFlight(), "in flight"),
                Fields.notNegative(frame.getLimit(), "limit"),
                Fields.notNegative(frame.getQueued(), "queued"),
                Fields.inRange(frame.getCut(), 0, Fields.MAXIMUM_CUT, "cut"),
                decode(frame.hasPace(), frame.getPace()),
                frame.getUnheard(),
                Fields.notNegative(frame.getRunSeconds(), "run seconds"));
    }

    static List<ServiceCutFrame> encode(List<ServiceCut> cuts) {
        List<ServiceCutFrame> frames = new ArrayList<>(cuts.size());
        for (ServiceCut cut : cuts) {
            frames.add(ServiceCutFrame.newBuilder()
                    .setService(cut.service().value())
                    .setLevel(cut.level())
                    .build());
        }
        return frames;
    }

    static List<ServiceCut> decode(List<ServiceCutFrame> frames) throws ProtocolFault {
        List<ServiceCut> cuts = new ArrayList<>(frames.size());
        for (ServiceCutFrame frame : frames) {
            cuts.add(new ServiceCut(
                    Fields.service(frame.getService()),
                    Fields.inRange(frame.getLevel(), 0, Fields.MAXIMUM_CUT, "cut level")));
        }
        return cuts;
    }
}
