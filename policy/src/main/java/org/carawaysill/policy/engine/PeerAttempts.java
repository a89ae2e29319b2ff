package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.Purpose;
import org.carawaysill.policy.time.Moment;

/**
 * Starts attempts at other nodes: at another copy, at the holder of a key, or at a node that may start its request.
 *
 * <p>Invariant: the credits sent with an attempt are lent by the ledger of its work. Not thread safe: owned by the policy.
 */
final class PeerAttempts {

    private static final Duration RETRY_AFTER = Duration.ofMillis(100);

    private final WorkTable table;
    private final Outbox out;
    private final ControlPlane control;
    private final Ownership ownership;
    private final ClientRetries clientRetries;
    private final IdentifierSource identifiers;

    PeerAttempts(EngineParts parts) {
        table = parts.table();
        out = parts.out();
        control = parts.control();
        ownership = parts.ownership();
        clientRetries = parts.clientRetries();
        identifiers = parts.identifiers();
    }

    /** Sends the work to the node that its scope requires; returns the final outcome if there is none. */
    Optional<Outcome> start(Moment now, Work work) {
        return switch (work.scope()) {
            case AT_HOLDER -> atHolder(now, work);
            case AT_STARTER -> atStarter(now, work);
            case LOCAL_COPY, OWN_SERVICE, HELD, DEEPER_SERVICE -> atAnotherCopy(now, work);
        };
    }

    private Optional<Outcome> atAnotherCopy(Moment now, Work work) {
        RequestFacts facts = work.facts();
        Optional<NodeName> peer = control.choose(now, facts.service(), work.tried(), facts.priority());
        if (peer.isEmpty()) {
            return notRun(RefusalReason.NO_COPY, Step.ROUTING);
        }
        work.tried().add(peer.get());
        int credits = work.ledger().left() - 1;
        // One credit stays here, so that an attempt whose answer is lost does not use up every retry.
        return send(now, work, peer.get(), Purpose.RUN, credits);
    }

    private Optional<Outcome> atHolder(Moment now, Work work) {
        Optional<NodeName> holder = ownership.holder(work.facts().request());
        if (holder.isEmpty() || !control.connected(holder.get())) {
            // This attempt did not run; whether an earlier one under the same key ran is known to the holder only.
            return Optional.of(new Outcome.Unknown(UnknownReason.HOLDER_UNREACHABLE, Step.OWNERSHIP, holder));
        }
        return send(now, work, holder.get(), Purpose.HOLD, work.ledger().left());
    }

    private Optional<Outcome> atStarter(Moment now, Work work) {
        Optional<NodeName> starter = clientRetries.starter(now, work.facts());
        if (starter.isEmpty()) {
            return notRun(RefusalReason.HOLDER_UNREACHABLE, Step.OWNERSHIP);
        }
        return send(now, work, starter.get(), Purpose.HOLD, work.ledger().left());
    }

    private Optional<Outcome> send(Moment now, Work work, NodeName peer, Purpose purpose, int credits) {
        RequestFacts facts = work.facts();
        Attempt attempt = new Attempt.AtPeer(identifiers.attempt(), peer, now.nanos());
        table.startAttempt(work, attempt);
        control.sent(now, peer);
        PeerRequest request = new PeerRequest(
                attempt.identifier(),
                facts.request(),
                facts.service(),
                facts.operation(),
                facts.caller(),
                facts.priority(),
                facts.idempotent(),
                facts.key(),
                work.ledger().grantForAttempt(attempt.identifier(), credits),
                facts.deadlineNanos() - now.nanos(),
                facts.depth(),
                purpose,
                facts.content());
        out.add(new Effect.SendToPeer(peer, request));
        return Optional.empty();
    }

    private static Optional<Outcome> notRun(RefusalReason reason, Step step) {
        return Optional.of(new Outcome.NotRun(reason, RETRY_AFTER, step, Optional.empty()));
    }
}
