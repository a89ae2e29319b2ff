package org.carawaysill.model.settings;

import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The settings of one node's process.
 *
 * <p>Invariant: checked as a whole by {@link NodeSettingsParser} before it exists. Immutable and thread safe.
 *
 * @param node the node's own name
 * @param service the service whose copy it stands beside
 * @param zone the availability zone of its VM
 * @param policy which policy it decides by
 * @param addresses where it listens, and its local copy's address
 * @param platform the platform's services
 * @param limits the greatest sizes that it takes in
 * @param benchFaults whether the admin port may drop the traffic of other nodes, for a bench
 */
public record NodeSettings(
        NodeName node,
        ServiceName service,
        AvailabilityZone zone,
        PolicyChoice policy,
        NodeAddresses addresses,
        PlatformAddresses platform,
        SizeLimits limits,
        boolean benchFaults) {}
