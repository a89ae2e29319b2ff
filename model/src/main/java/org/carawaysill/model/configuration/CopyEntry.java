package org.carawaysill.model.configuration;

import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;

/**
 * One upstream copy in the published roster of a service.
 *
 * <p>Immutable and thread safe.
 *
 * @param node the node beside the copy
 * @param zone the availability zone of its VM
 * @param host the IP address of its VM
 * @param peerPort the TCP port at which the node listens for other nodes
 * @param slots how many requests the copy can run at a time
 * @param connections how many connections the copy accepts
 */
public record CopyEntry(NodeName node, AvailabilityZone zone, String host, int peerPort, int slots, int connections) {}
