package org.carawaysill.policy.engine;

import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;

/** One attempt at a piece of work. Immutable and thread safe. */
sealed interface Attempt {

    /**
     * Identifies the attempt.
     *
     * @return the identifier, minted at this node
     */
    AttemptIdentifier identifier();

    /**
     * Waits for a slot of the local copy; nothing has been handed over.
     *
     * @param identifier the attempt
     */
    record Queued(AttemptIdentifier identifier) implements Attempt {}

    /**
     * Handed to the local copy.
     *
     * @param identifier the attempt
     */
    record AtCopy(AttemptIdentifier identifier) implements Attempt {}

    /**
     * Sent to another node.
     *
     * @param identifier the attempt
     * @param peer the other node
     * @param sentNanos when, on the monotonic clock
     */
    record AtPeer(AttemptIdentifier identifier, NodeName peer, long sentNanos) implements Attempt {}
}
