package org.carawaysill.protocol.link;

import org.carawaysill.protocol.generated.Accepted;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.generated.Hello;
import org.carawaysill.protocol.generated.Probe;
import org.carawaysill.protocol.generated.ProbeReply;
import org.carawaysill.protocol.generated.Refused;

/**
 * Creates the frames that links themselves exchange: hello, acceptance, refusal and probes. Stateless and thread safe.
 */
final class LinkFrames {

    static final Frame ACCEPTED =
            Frame.newBuilder().setAccepted(Accepted.getDefaultInstance()).build();
    static final Frame PROBE =
            Frame.newBuilder().setProbe(Probe.getDefaultInstance()).build();
    static final Frame PROBE_REPLY =
            Frame.newBuilder().setProbeReply(ProbeReply.getDefaultInstance()).build();

    private LinkFrames() {}

    static Frame hello(LinkIdentity self, long connection) {
        Hello hello = Hello.newBuilder()
                .setMagic(HelloValidator.MAGIC)
                .setVersion(HelloValidator.VERSION)
                .setNode(self.name().value())
                .setService(self.service().value())
                .setIncarnation(self.incarnation())
                .setConnection(connection)
                .build();
        return Frame.newBuilder().setHello(hello).build();
    }

    static Frame refused(LinkFaultKind reason) {
        return Frame.newBuilder()
                .setRefused(Refused.newBuilder().setReason(reason.name()))
                .build();
    }
}
