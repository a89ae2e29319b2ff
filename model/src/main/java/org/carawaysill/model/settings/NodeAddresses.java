package org.carawaysill.model.settings;

import org.carawaysill.model.identity.NetworkAddress;

/**
 * The addresses at which a node listens, and that of its local copy.
 *
 * <p>Immutable and thread safe.
 *
 * @param ingress where callers connect, HTTP
 * @param egress where the local copy's own calls go, HTTP
 * @param peer where other nodes connect
 * @param admin where operators and metrics connect, HTTP
 * @param copy where the local copy listens, HTTP
 */
public record NodeAddresses(
        NetworkAddress ingress, NetworkAddress egress, NetworkAddress peer, NetworkAddress admin, NetworkAddress copy) {

    /** Where operators connect if the settings state nothing: only from the node's own VM. */
    public static final NetworkAddress DEFAULT_ADMIN = new NetworkAddress("127.0.0.1", 21003);
}
