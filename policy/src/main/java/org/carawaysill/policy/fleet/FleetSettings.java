package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Set;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.allowance.AllowanceBounds;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.retry.RetrySettings;

/**
 * The identity of a node of a fleet, and the bounds for its decisions.
 *
 * <p>Immutable and thread safe.
 *
 * @param self the node, named by the IP number of its VM
 * @param zone the availability zone of its VM
 * @param service the service of its copy
 * @param copyAddress the address at which that copy listens
 * @param drainLimit the time after which a leaving copy must get no new work
 * @param stopLimit the time that a planned stop may take before the process is killed
 * @param retries the bound of retries in the whole fleet
 * @param allowances how far the requests of an organisation may exceed its allowance in the whole fleet
 * @param maximumReceivedBytes how much memory requests of other nodes for the local copy may take
 * @param disabledMechanisms mechanisms that are switched off to measure their effect; empty in normal operation
 */
public record FleetSettings(
        NodeName self,
        AvailabilityZone zone,
        ServiceName service,
        NetworkAddress copyAddress,
        Duration drainLimit,
        Duration stopLimit,
        RetrySettings retries,
        AllowanceBounds allowances,
        long maximumReceivedBytes,
        Set<Mechanism> disabledMechanisms) {

    public FleetSettings {
        disabledMechanisms = Set.copyOf(disabledMechanisms);
    }
}
