package org.carawaysill.model.settings;

import org.carawaysill.model.identity.NetworkAddress;

/**
 * The addresses at which a node listens, and that of its local copy.
 *
 * <p>Immutable and thread safe.
 *
 * @param ingress the HTTP address for callers
 * @param egress the HTTP address for the local copy's own calls
 * @param peer the address for other nodes
 * @param admin the HTTP address for operators and metrics
 * @param copy the HTTP address of the local copy
 */
public record NodeAddresses(
        NetworkAddress ingress, NetworkAddress egress, NetworkAddress peer, NetworkAddress admin, NetworkAddress copy) {

    /** The default address for operators, reachable only from the node's own VM. */
    public static final NetworkAddress DEFAULT_ADMIN = new NetworkAddress("127.0.0.1", 21003);
}
