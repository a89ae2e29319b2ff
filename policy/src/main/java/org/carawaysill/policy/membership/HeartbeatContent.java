package org.carawaysill.policy.membership;

import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/** What a heartbeat says beside that its sender lives. Owned by the thread that owns the policy. */
public interface HeartbeatContent {

    /**
     * Gives this node's load.
     *
     * @return the load now
     */
    LoadReport load();

    /**
     * Gives the configuration versions that concern a node.
     *
     * @param peer the receiver
     * @return the version by service
     */
    Map<ServiceName, Long> versionsFor(NodeName peer);
}
