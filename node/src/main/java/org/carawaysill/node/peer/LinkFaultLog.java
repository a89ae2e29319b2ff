package org.carawaysill.node.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.protocol.link.LinkFault;
import org.carawaysill.protocol.link.LinkFaultKind;

/**
 * Logs a connection fault only if it is a change of state: the first failed connect to a node that is down, not each
 * one.
 *
 * <p>Invariant: at most one line per peer and kind until a fault of another kind occurs or a connection succeeds; none
 * for senders without a name, which are only counted. Thread safe.
 */
public final class LinkFaultLog {

    private final Map<NodeName, LinkFaultKind> latest = new ConcurrentHashMap<>();

    /**
     * Logs a fault, unless the last fault of this peer was of the same kind.
     *
     * @param fault the fault
     */
    public void record(LinkFault fault) {
        fault.peer().ifPresent(peer -> {
            if (latest.put(peer, fault.kind()) != fault.kind()) {
                StateLog.fault(fault.step(), Optional.of(peer), fault.kind() + ": " + fault.detail());
            }
        });
    }

    /**
     * Clears the last fault of a peer that is now connected.
     *
     * @param peer the other node
     */
    public void clear(NodeName peer) {
        latest.remove(peer);
    }
}
