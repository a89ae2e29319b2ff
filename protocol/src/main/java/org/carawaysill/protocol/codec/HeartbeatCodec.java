package org.carawaysill.protocol.codec;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.protocol.generated.HeartbeatFrame;

/** Encodes and decodes heartbeats. Stateless and thread safe. */
final class HeartbeatCodec {

    private HeartbeatCodec() {}

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
}
