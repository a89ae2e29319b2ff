package org.carawaysill.policy.membership;

import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/** Supplies the data that heartbeats carry. Not thread safe: the thread that owns the policy calls it. */
public interface HeartbeatContent {

    /**
     * Returns this node's current load.
     *
     * @return the current load
     */
    LoadReport load();

    /**
     * Returns the configuration versions that are relevant to a peer.
     *
     * @param peer the receiver
     * @return the version by service
     */
    Map<ServiceName, Long> versionsFor(NodeName peer);
}
