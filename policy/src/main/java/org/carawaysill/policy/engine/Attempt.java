package org.carawaysill.policy.engine;

import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;

/** The state of one attempt at a piece of work. Immutable and thread safe. */
sealed interface Attempt {

    /**
     * Returns the attempt's identifier.
     *
     * @return the identifier, minted at this node
     */
    AttemptIdentifier identifier();

    /**
     * The attempt waits for a slot of the local copy; nothing has been handed to the copy.
     *
     * @param identifier the attempt
     */
    record Queued(AttemptIdentifier identifier) implements Attempt {}

    /**
     * The attempt has been handed to the local copy.
     *
     * @param identifier the attempt
     */
    record AtCopy(AttemptIdentifier identifier) implements Attempt {}

    /**
     * The attempt has been sent to another node.
     *
     * @param identifier the attempt
     * @param peer the other node
     * @param sentNanos when it was sent, on the monotonic clock
     */
    record AtPeer(AttemptIdentifier identifier, NodeName peer, long sentNanos) implements Attempt {}
}
