package org.carawaysill.model.vm;

import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;

/**
 * The platform's list of VMs as read at one moment; it lags behind the truth.
 *
 * <p>Immutable and thread safe.
 *
 * @param states the state of each listed VM; one that is gone is absent
 */
public record VmList(Map<NodeName, VmState> states) {

    public VmList {
        states = Map.copyOf(states);
    }

    /**
     * Looks a VM up.
     *
     * @param node the node on the VM
     * @return its state, or empty where the VM is not listed
     */
    public Optional<VmState> state(NodeName node) {
        return Optional.ofNullable(states.get(node));
    }
}
