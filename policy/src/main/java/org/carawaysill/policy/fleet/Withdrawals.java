package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Asks other nodes for the requests of this node that wait at their copies, because this node stops.
 *
 * <p>Invariants: only the other node knows whether a request has begun, so a request counts as not run only by its
 * answer; one that has begun goes on. Not thread safe: owned by the policy.
 */
final class Withdrawals {

    /** A request may wait again after it was asked for, and a message that found no room is not kept. */
    private static final Duration ASK_AGAIN_AFTER = Duration.ofMillis(100);

    private final Effects effects;
    private final Peers peers;
    private final Map<AttemptIdentifier, Long> askAgainNanos = new HashMap<>();
    private int asked;
    private int notRun;

    Withdrawals(Effects effects, Peers peers) {
        this.effects = effects;
        this.peers = peers;
    }

    /** Asks for an attempt, unless that was done just before or the other node can't answer. */
    void ask(long now, AttemptIdentifier attempt, NodeName node) {
        if (!peers.takesWithdrawals(node) || now < askAgainNanos.getOrDefault(attempt, now)) {
            return;
        }
        if (askAgainNanos.put(attempt, now + ASK_AGAIN_AFTER.toNanos()) == null) {
            asked++;
        }
        effects.add(new FleetEffect.SendToPeer(node, new PeerMessage.WithdrawAttempt(attempt)));
    }

    /** Notes the end of an attempt that may have been asked for. */
    void ended(AttemptIdentifier attempt, Outcome outcome) {
        if (askAgainNanos.remove(attempt) != null && outcome instanceof Outcome.NotRun) {
            notRun++;
        }
    }

    /** Returns how many attempts other nodes were asked for. */
    int askedCount() {
        return asked;
    }

    /** Returns how many of them were not run. */
    int notRunCount() {
        return notRun;
    }
}
