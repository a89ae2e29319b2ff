package org.carawaysill.protocol.link;

import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;

/**
 * A message queued for the event loop.
 *
 * <p>Immutable and thread safe.
 *
 * @param peer the receiving node
 * @param message the message
 */
record OutgoingMessage(NodeName peer, PeerMessage message) {}
