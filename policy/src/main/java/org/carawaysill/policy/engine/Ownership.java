package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.ChainRefusal;
import org.carawaysill.policy.ownership.Claim;
import org.carawaysill.policy.ownership.Holder;
import org.carawaysill.policy.ownership.KeyReader;
import org.carawaysill.policy.time.Moment;

/**
 * Handles work that must run at most once, at the node that is the holder of its identifier.
 *
 * <p>Invariant: a claim answered with {@link Claim.Run} becomes exactly one piece of work, whose outcome is reported to the
 * holder's table once. Not thread safe: owned by the policy.
 */
final class Ownership {

    private static final int MAXIMUM_LATE_RUNS = 1000;
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final Holder holder;
    private final WorkTable table;
    private final OutcomeDelivery delivery;
    private final ChainCuts chainCuts;
    private final ClientLedgers ledgers;
    private final Map<AttemptIdentifier, RequestIdentifier> lateRuns = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptIdentifier, RequestIdentifier> eldest) {
            return size() > MAXIMUM_LATE_RUNS;
        }
    };
    private Optional<WorkRunner> runner = Optional.empty();

    Ownership(Holder holder, WorkTable table, OutcomeDelivery delivery, ChainCuts chainCuts, ClientLedgers ledgers) {
        this.holder = holder;
        this.table = table;
        this.delivery = delivery;
        this.chainCuts = chainCuts;
        this.ledgers = ledgers;
    }

    /** Sets the runner, which can't be a constructor parameter because the two objects depend on each other. */
    void runner(WorkRunner starter) {
        runner = Optional.of(starter);
    }

    Optional<NodeName> holder(RequestIdentifier request) {
        return holder.holder(request);
    }

    boolean mayHandToCopy(Moment now) {
        return holder.held(now);
    }

    /** Decides about one attempt at a request that this node holds. */
    void hold(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        int contentHash = contentHash(facts.content());
        Claim claim = facts.key()
                .map(KeyReader::read)
                .<Claim>map(key -> holder.claim(now, key, contentHash))
                .orElseGet(() -> new Claim.Refused(RefusalReason.BAD_REQUEST, RETRY_AFTER));
        switch (claim) {
            case Claim.Run run -> startUnlessRefused(now, origin, facts, credits);
            case Claim.Running running -> joinOrRefuse(now, origin, facts, credits);
            case Claim.Known known -> deliver(now, origin, facts, known.outcome(), credits);
            case Claim.MayHaveRun(var reason) ->
                deliver(now, origin, facts, new Outcome.Unknown(reason, Step.OWNERSHIP, Optional.empty()), credits);
            case Claim.Refused(var reason, var retryAfter) ->
                deliver(
                        now,
                        origin,
                        facts,
                        new Outcome.NotRun(reason, retryAfter, Step.OWNERSHIP, Optional.empty()),
                        credits);
        }
    }

    /**
     * Starts the work unless a deeper service would refuse it. The claim shows that no earlier attempt ran, so a
     * refusal may say "not run".
     */
    private void startUnlessRefused(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        Optional<ChainRefusal> refusal = chainCuts.check(now.nanos(), facts.operation(), facts.priority());
        if (refusal.isPresent()) {
            holder.notRun(facts.request());
            Outcome outcome = new Outcome.NotRun(
                    RefusalReason.OVERLOAD_BELOW, refusal.get().retryAfter(), Step.OWNERSHIP, Optional.empty());
            deliver(now, origin, facts, outcome, credits);
        } else {
            runner.orElseThrow()
                    .start(
                            now,
                            new Work(
                                    facts,
                                    ledgers.open(now.nanos(), facts.request(), credits)
                                            .ledger(),
                                    Work.Scope.HELD,
                                    origin));
        }
    }

    /**
     * Lets a repeat of a running request wait for the same outcome; if the run has outlived its deadline, the outcome is
     * unknown.
     */
    private void joinOrRefuse(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        Optional<Work> running = table.held(facts.request());
        if (running.isPresent()) {
            table.attach(running.get(), origin);
        } else {
            Outcome unknown = new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT, Step.OWNERSHIP, Optional.empty());
            deliver(now, origin, facts, unknown, credits);
        }
    }

    private void deliver(Moment now, WorkOrigin origin, RequestFacts facts, Outcome outcome, int credits) {
        delivery.deliver(now.nanos(), origin, facts.operation(), outcome, credits);
    }

    /** Records the outcome of held work; work that was not run may be claimed again. */
    void finished(Work work, Outcome outcome) {
        if (!work.held()) {
            return;
        }
        if (outcome instanceof Outcome.NotRun) {
            holder.notRun(work.facts().request());
        } else {
            holder.finished(work.facts().request(), outcome);
        }
    }

    /**
     * Records a run that outlives the deadline of its caller, which got the outcome "unknown": a repeat after the copy's
     * answer gets that answer.
     */
    void recordLateRun(Work work, AttemptIdentifier attempt) {
        if (work.held()) {
            lateRuns.put(attempt, work.facts().request());
        }
    }

    void lateRunEnded(AttemptIdentifier attempt, Outcome outcome) {
        RequestIdentifier request = lateRuns.remove(attempt);
        if (request != null && outcome instanceof Outcome.Answered) {
            holder.finished(request, outcome);
        }
    }

    private static int contentHash(RequestContent content) {
        return 31 * (31 * content.method().hashCode() + content.path().hashCode())
                + content.body().hashCode();
    }
}
