package org.carawaysill.node.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.protocol.link.LinkFault;
import org.carawaysill.protocol.link.LinkFaultKind;

/**
 * Logs a fault of a connection where it is a change of state: not each dial to a node that is down, but the first.
 *
 * <p>Invariant: at most one line for a peer and kind until another kind comes or a connection succeeds; none for senders
 * that have no name, which are only counted. Thread safe.
 */
public final class LinkFaultLog {

    private final Map<NodeName, LinkFaultKind> latest = new ConcurrentHashMap<>();

    /**
     * Logs a fault, unless it is of the kind that this peer had last.
     *
     * @param fault the fault
     */
    public void note(LinkFault fault) {
        fault.peer().ifPresent(peer -> {
            if (latest.put(peer, fault.kind()) != fault.kind()) {
                StateLog.fault(fault.step(), Optional.of(peer), fault.kind() + ": " + fault.detail());
            }
        });
    }

    /**
     * Forgets the last fault of a peer, which is connected now.
     *
     * @param peer the other node
     */
    public void cleared(NodeName peer) {
        latest.remove(peer);
    }
}
