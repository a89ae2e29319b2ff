package org.carawaysill.policy.engine;

import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The identity of this node, from its settings.
 *
 * <p>Immutable and thread safe.
 *
 * @param node the node's name
 * @param service the service whose copy it stands beside
 * @param zone the availability zone of its VM
 * @param incarnation the start time of its process in milliseconds since 1970
 */
public record NodeIdentity(NodeName node, ServiceName service, AvailabilityZone zone, long incarnation) {}
