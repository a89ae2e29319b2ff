package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.time.Nanos;

/**
 * Takes back the requests of this node that wait at the copies of other nodes, because this node stops.
 *
 * <p>Invariants: only the other node knows whether a request has begun, so a request counts as not run only by its
 * answer; one that has begun goes on. Not thread safe: owned by the policy.
 */
final class Withdrawals {

    /** How long an answer may take; a request may wait again by then, or the message may have found no room. */
    private static final Duration ASK_AGAIN_AFTER = Duration.ofMillis(100);

    private final FleetSettings settings;
    private final Effects effects;
    private final Peers peers;
    private final LocalRuns localRuns;
    private final Map<AttemptIdentifier, Long> askAgainNanos = new HashMap<>();
    private Optional<StopSchedule> stop = Optional.empty();
    private int asked;
    private int notRun;

    Withdrawals(FleetParts parts) {
        settings = parts.settings();
        effects = parts.effects();
        peers = parts.peers();
        localRuns = parts.localRuns();
    }

    /** Notes that this node stops, and when. */
    void stopping(StopSchedule schedule) {
        stop = Optional.of(schedule);
    }

    /** Returns whether a request that starts at the copy now is usually answered before this process ends. */
    boolean mayStart(long now, Copy copy) {
        return now < lastStartNanos(copy);
    }

    /** Returns whether a request that starts at one of these copies now is usually answered before this process ends. */
    boolean mayStart(long now, Collection<Copy> copies) {
        return copies.stream().allMatch(copy -> mayStart(now, copy));
    }

    /** Returns until when a request may start at a copy; without end while this node doesn't stop. */
    long lastStartNanos(Copy copy) {
        long usualRunNanos = copy.node().equals(settings.self())
                ? localRuns.usualRunNanos()
                : (long) (copy.load().runSeconds() * Nanos.PER_SECOND);
        return stop.map(schedule -> schedule.lastStartNanos(usualRunNanos)).orElse(Long.MAX_VALUE);
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
