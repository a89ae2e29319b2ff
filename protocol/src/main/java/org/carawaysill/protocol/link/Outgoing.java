package org.carawaysill.protocol.link;

import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;

/**
 * A message on its way to the event loop.
 *
 * <p>Immutable and thread safe.
 *
 * @param peer the node that it is meant for
 * @param message the message
 */
record Outgoing(NodeName peer, PeerMessage message) {}
