package org.carawaysill.model.vm;

import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;

/**
 * A snapshot of the platform's list of VMs; it lags behind the actual state.
 *
 * <p>Immutable and thread safe.
 *
 * @param states the state of each listed VM; a removed VM is absent
 * @param hosts the IP address of each listed VM whose address is known
 */
public record VmList(Map<NodeName, VmState> states, Map<NodeName, String> hosts) {

    public VmList {
        states = Map.copyOf(states);
        hosts = Map.copyOf(hosts);
    }

    /**
     * Creates a list without IP addresses.
     *
     * @param states the state of each listed VM
     */
    public VmList(Map<NodeName, VmState> states) {
        this(states, Map.of());
    }

    /**
     * Looks up the state of a VM.
     *
     * @param node the node on the VM
     * @return its state, or empty if the VM is not listed
     */
    public Optional<VmState> state(NodeName node) {
        return Optional.ofNullable(states.get(node));
    }

    /**
     * Looks up the address of a VM.
     *
     * @param node the node on the VM
     * @return its IP address, or empty if it is unknown
     */
    public Optional<String> host(NodeName node) {
        return Optional.ofNullable(hosts.get(node));
    }
}
