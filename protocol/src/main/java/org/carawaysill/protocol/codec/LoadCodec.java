package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;
import org.carawaysill.protocol.generated.LoadReportFrame;
import org.carawaysill.protocol.generated.ServiceCutFrame;

/** Encodes and decodes load reports and admission cuts. Stateless and thread safe. */
final class LoadCodec {

    private LoadCodec() {}

    static LoadReportFrame encode(LoadReport load) {
        return LoadReportFrame.newBuilder()
                .setInFlight(load.inFlight())
                .setLimit(load.limit())
                .setQueued(load.queued())
                .setCut(load.cut())
                .build();
    }

    static LoadReport decode(boolean present, LoadReportFrame frame) throws ProtocolFault {
        Fields.requirePresent(present, "load");
        return new LoadReport(
                Fields.notNegative(frame.getInFlight(), "in flight"),
                Fields.notNegative(frame.getLimit(), "limit"),
                Fields.notNegative(frame.getQueued(), "queued"),
                Fields.inRange(frame.getCut(), 0, Fields.MAXIMUM_CUT, "cut"));
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
