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
 * @param hosts the IP number of each listed VM whose number is known
 */
public record VmList(Map<NodeName, VmState> states, Map<NodeName, String> hosts) {

    public VmList {
        states = Map.copyOf(states);
        hosts = Map.copyOf(hosts);
    }

    /**
     * Makes a list without IP numbers.
     *
     * @param states the state of each listed VM
     */
    public VmList(Map<NodeName, VmState> states) {
        this(states, Map.of());
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

    /**
     * Looks a VM's address up.
     *
     * @param node the node on the VM
     * @return its IP number, or empty where it is not known
     */
    public Optional<String> host(NodeName node) {
        return Optional.ofNullable(hosts.get(node));
    }
}
