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
 * Who a node of a fleet is, and the bounds under which it decides.
 *
 * <p>Immutable and thread safe.
 *
 * @param self the node, named by the IP number of its VM
 * @param zone where its VM stands
 * @param service the service of the copy beside it
 * @param copyAddress where that copy listens
 * @param drainLimit within which a leaving copy must get no new work any more
 * @param stopLimit how long a planned stop may take before the process is killed
 * @param retries the bound of repeats in the whole fleet
 * @param allowances how far the requests of an organisation may exceed its allowance in the whole fleet
 * @param without what is switched off, to measure its worth; nothing in usual operation
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
        Set<Mechanism> without) {

    public FleetSettings {
        without = Set.copyOf(without);
    }
}
