package org.carawaysill.model.settings;

import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The settings of one node's process.
 *
 * <p>Invariant: {@link NodeSettingsParser} has validated it as a whole. Immutable and thread safe.
 *
 * @param node the node's own name
 * @param service the service of its local copy
 * @param zone the availability zone of its VM
 * @param policy the policy by which it decides
 * @param addresses the addresses at which it listens, and that of its local copy
 * @param platform the platform's services
 * @param limits the maximum sizes that it accepts
 * @param benchFaults whether traffic of other nodes may be dropped through the admin port, for benchmarks
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
