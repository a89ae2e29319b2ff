package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.ownership.HolderRank;
import org.carawaysill.policy.ownership.KeyReader;
import org.carawaysill.policy.retry.CreditShares;
import org.carawaysill.policy.retry.RetryCreditLedger;
import org.carawaysill.policy.time.Moment;

/**
 * Limits the attempts at idempotent requests that a caller may repeat at any node under the same key.
 *
 * <p>Two nodes may start such a request: the first-ranked for its identifier, with all credits but one, and the second,
 * which spends that one. All others forward it. Invariant: over all nodes of one roster, attempts at the entry are at most
 * one plus the credits, also when the nodes can't reach each other, since the shares are split in advance. A repeat of a
 * request in progress waits for the same outcome and starts nothing. Keys without a minting time get new credits after a
 * restart. Not thread safe: owned by the policy.
 */
final class ClientRetries {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long CLOCK_MARGIN_MILLIS = 250;
    private static final int FIRST = 0;
    private static final int SECOND = 1;

    private final NodeIdentity identity;
    private final ServiceDirectory directory;
    private final ControlPlane control;
    private final WorkTable table;
    private final OutcomeDelivery delivery;
    private final ClientLedgers ledgers;
    private final Map<RequestIdentifier, Work> inProgress = new HashMap<>();
    private Optional<WorkRunner> runner = Optional.empty();

    ClientRetries(
            NodeIdentity identity,
            ServiceDirectory directory,
            ControlPlane control,
            WorkTable table,
            OutcomeDelivery delivery,
            ClientLedgers ledgers) {
        this.identity = identity;
        this.directory = directory;
        this.control = control;
        this.table = table;
        this.delivery = delivery;
        this.ledgers = ledgers;
    }

    /** Sets the runner, which can't be a constructor parameter because the two objects depend on each other. */
    void runner(WorkRunner starter) {
        runner = Optional.of(starter);
    }

    /** Accepts a caller's request: starts it here, or forwards it to a node that may start it. */
    void dispatch(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        List<NodeName> ranked = ranked(facts);
        int rank = ranked.indexOf(identity.node());
        if (rank == FIRST) {
            startHere(now, origin, facts, credits);
        } else if (control.mayGetNewWork(now, ranked.getFirst())) {
            runner.orElseThrow().start(now, forwarded(facts, credits, origin));
        } else if (rank == SECOND) {
            startHere(now, origin, facts, credits);
        } else {
            runner.orElseThrow().start(now, forwarded(facts, credits, origin));
        }
    }

    private static Work forwarded(RequestFacts facts, int credits, WorkOrigin origin) {
        return new Work(facts, new RetryCreditLedger(credits), Work.Scope.AT_STARTER, origin);
    }

    /** Returns the node that may start a request, or empty while neither may get new work. */
    Optional<NodeName> starter(Moment now, RequestFacts facts) {
        return ranked(facts).stream()
                .limit(SECOND + 1L)
                .filter(node -> control.mayGetNewWork(now, node))
                .findFirst();
    }

    private List<NodeName> ranked(RequestFacts facts) {
        List<NodeName> roster = directory.configuration(identity.service()).orElseThrow().copies().stream()
                .map(CopyEntry::node)
                .toList();
        return HolderRank.rank(roster, facts.request());
    }

    /** Accepts a request as one of the two nodes that may start it. */
    void startHere(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        Work running = inProgress.get(facts.request());
        if (running != null && !running.finished()) {
            table.attach(running, origin);
            return;
        }
        int rank = ranked(facts).indexOf(identity.node());
        int share = rank < FIRST ? 0 : CreditShares.share(credits, rank, rosterSize());
        ClientLedgers.Entry entry = ledgers.open(now.nanos(), facts.request(), share);
        if (rank < FIRST || rank > SECOND || mintedBeforeStart(facts) || !payForStart(rank, entry)) {
            refuse(now, origin, facts);
            return;
        }
        Work work = new Work(facts, entry.ledger(), Work.Scope.OWN_SERVICE, origin);
        work.onMayHaveRun(entry::markMayHaveRun);
        inProgress.put(facts.request(), work);
        runner.orElseThrow().start(now, work);
    }

    /**
     * Returns whether the key may have been minted before this process started. A restarted node no longer knows which
     * credits it granted, and granting them again would exceed the bound, so such a key gets none here; its caller can mint a
     * new one.
     */
    private boolean mintedBeforeStart(RequestFacts facts) {
        return facts.key()
                .map(key -> KeyReader.read(key).mintedMillis())
                .filter(OptionalLong::isPresent)
                .filter(minted -> minted.getAsLong() < identity.incarnation() + CLOCK_MARGIN_MILLIS)
                .isPresent();
    }

    /** The first-ranked node has the free attempt; the second pays a retry for each of its attempts. */
    private static boolean payForStart(int rank, ClientLedgers.Entry entry) {
        return rank == FIRST ? entry.pay() : entry.ledger().spendRetry();
    }

    private int rosterSize() {
        return directory
                .configuration(identity.service())
                .orElseThrow()
                .copies()
                .size();
    }

    private void refuse(Moment now, WorkOrigin origin, RequestFacts facts) {
        Outcome outcome = new Outcome.NotRun(
                RefusalReason.CREDITS_SPENT, RETRY_AFTER, Step.OWNERSHIP, Optional.of(identity.node()));
        delivery.deliver(now.nanos(), origin, facts.operation(), outcome, 0);
    }

    void finished(Work work) {
        inProgress.remove(work.facts().request(), work);
    }
}
