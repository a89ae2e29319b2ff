package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.policy.message.PeerMessage.Suspicions;
import org.carawaysill.policy.message.Suspicion;
import org.carawaysill.protocol.generated.SuspicionFrame;
import org.carawaysill.protocol.generated.SuspicionsFrame;

/** Encodes and decodes suspicions: requests that may have crashed copies. Stateless and thread safe. */
final class SuspicionCodec {

    private SuspicionCodec() {}

    static SuspicionsFrame encode(Suspicions suspicions) {
        SuspicionsFrame.Builder frame =
                SuspicionsFrame.newBuilder().setService(suspicions.service().value());
        suspicions.suspicions().forEach(suspicion -> frame.addSuspicions(encode(suspicion)));
        return frame.build();
    }

    private static SuspicionFrame encode(Suspicion suspicion) {
        return SuspicionFrame.newBuilder()
                .setFingerprintHigh(suspicion.fingerprint().high())
                .setFingerprintLow(suspicion.fingerprint().low())
                .addAllCrashes(suspicion.crashes())
                .addAllWitnessed(suspicion.witnessed())
                .addAllCleared(suspicion.cleared())
                .setQuarantinedAt(suspicion.quarantinedAt())
                .setRemainingNanos(Fields.clampedNanos(suspicion.remainingNanos()))
                .build();
    }

    static Suspicions decode(SuspicionsFrame frame) throws ProtocolFault {
        List<Suspicion> suspicions = new ArrayList<>(frame.getSuspicionsCount());
        for (SuspicionFrame suspicion : frame.getSuspicionsList()) {
            suspicions.add(decode(suspicion));
        }
        return new Suspicions(Fields.service(frame.getService()), suspicions);
    }

    private static Suspicion decode(SuspicionFrame frame) throws ProtocolFault {
        return new Suspicion(
                new Fingerprint(frame.getFingerprintHigh(), frame.getFingerprintLow()),
                new HashSet<>(frame.getCrashesList()),
                new HashSet<>(frame.getWitnessedList()),
                new HashSet<>(frame.getClearedList()),
                Fields.notNegative(frame.getQuarantinedAt(), "crashes at quarantine"),
                Fields.durationNanos(frame.getRemainingNanos(), "remaining quarantine"));
    }
}
