package org.carawaysill.node.fleet;

import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.node.entry.WireDialect;
import org.carawaysill.policy.fleet.FleetSettings;

/**
 * Where a fleet's node listens, and under which terms it decides.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy who it is, and the bounds under which it decides
 * @param entry where it takes requests that begin on its VM
 * @param peer where other nodes reach it; the port is the same at all nodes
 * @param admin where it serves readiness and metrics
 * @param metrics where it serves metrics besides; the same address where there is no other
 * @param dialect the names of header fields
 */
public record FleetNodeSettings(
        FleetSettings policy,
        NetworkAddress entry,
        NetworkAddress peer,
        NetworkAddress admin,
        NetworkAddress metrics,
        WireDialect dialect) {}
