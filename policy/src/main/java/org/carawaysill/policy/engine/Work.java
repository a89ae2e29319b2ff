package org.carawaysill.policy.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.retry.RetryCreditLedger;

/**
 * A request that this node handles until its outcome, over all its attempts here.
 *
 * <p>Invariants: one attempt at a time; finished at most once; {@link #mayHaveRun()} never returns to false. Not
 * thread safe: owned by the policy.
 */
final class Work {

    private final RequestFacts facts;
    private final RetryCreditLedger ledger;
    private final Scope scope;
    private final List<WorkOrigin> origins = new ArrayList<>();
    private final Set<NodeName> tried = new HashSet<>();
    private Optional<Attempt> current = Optional.empty();
    private long retryDueNanos = Long.MAX_VALUE;
    private int retries;
    private Runnable mayHaveRunListener = () -> {};
    private boolean mayHaveRun;
    private boolean finished;

    Work(RequestFacts facts, RetryCreditLedger ledger, Scope scope, WorkOrigin origin) {
        this.facts = facts;
        this.ledger = ledger;
        this.scope = scope;
        origins.add(origin);
    }

    /** Where a piece of work may run. */
    enum Scope {
        /** At the local copy only, as requested by another node. */
        LOCAL_COPY,
        /** At any copy of this node's own service, the local one first. */
        OWN_SERVICE,
        /** The same, under this node's ownership of the identifier: at most once. */
        HELD,
        /** At the holder of the identifier, which is another node. */
        AT_HOLDER,
        /** At one of the two nodes that may start an idempotent request under its key. */
        AT_STARTER,
        /** At any copy of a deeper service. */
        DEEPER_SERVICE
    }

    RequestFacts facts() {
        return facts;
    }

    RetryCreditLedger ledger() {
        return ledger;
    }

    Scope scope() {
        return scope;
    }

    List<WorkOrigin> origins() {
        return origins;
    }

    Set<NodeName> tried() {
        return tried;
    }

    Optional<Attempt> current() {
        return current;
    }

    void current(Optional<Attempt> attempt) {
        current = attempt;
    }

    long retryDueNanos() {
        return retryDueNanos;
    }

    void retryDueNanos(long due) {
        retryDueNanos = due;
    }

    int retries() {
        return retries;
    }

    void countRetry() {
        retries++;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void markMayHaveRun() {
        mayHaveRun = true;
        mayHaveRunListener.run();
    }

    /** Sets the action that runs whenever an attempt may have run. */
    void onMayHaveRun(Runnable action) {
        mayHaveRunListener = action;
    }

    boolean finished() {
        return finished;
    }

    void finish() {
        finished = true;
        current = Optional.empty();
    }

    boolean held() {
        return scope == Scope.HELD;
    }
}
