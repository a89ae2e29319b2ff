package org.carawaysill.node.fleet;

import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.node.entry.WireDialect;
import org.carawaysill.policy.fleet.FleetSettings;

/**
 * The addresses on which a fleet node listens, and the settings of its policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy the node's identity and the limits of its policy
 * @param entry the address that accepts requests of clients on its own VM
 * @param peer the address for other nodes; the port is the same on all nodes
 * @param admin the address that serves readiness and metrics
 * @param metrics an additional address for metrics; equal to {@code admin} if there is none
 * @param dialect the names of header fields
 * @param descriptors how many descriptors the process may have open
 */
public record FleetNodeSettings(
        FleetSettings policy,
        NetworkAddress entry,
        NetworkAddress peer,
        NetworkAddress admin,
        NetworkAddress metrics,
        WireDialect dialect,
        int descriptors) {

    /** The number of descriptors where nothing else is set. */
    public static final int DEFAULT_DESCRIPTORS = 4096;
}
