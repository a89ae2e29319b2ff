package org.carawaysill.node.policy;

import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.policy.effect.NodeStatus;

/** Holds the state that the policy published last, for the adapters to read. Thread safe. */
public final class StatusBoard implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "status-board";

    private static final NodeStatus INITIAL_STATUS =
            new NodeStatus(0, 0, 0, 0, Map.of(), false, Map.of(), Map.of(), false);

    private final AtomicReference<NodeStatus> latest = new AtomicReference<>(INITIAL_STATUS);

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Replaces the state.
     *
     * @param status the present state
     */
    public void publish(NodeStatus status) {
        latest.set(status);
    }

    /**
     * Returns the state that was published last.
     *
     * @return the state
     */
    public NodeStatus latest() {
        return latest.get();
    }
}
