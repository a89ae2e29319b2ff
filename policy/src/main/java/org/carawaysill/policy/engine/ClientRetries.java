package org.carawaysill.policy.engine;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.ownership.HolderRank;
import org.carawaysill.policy.retry.CreditShares;
import org.carawaysill.policy.retry.RequestLedger;
import org.carawaysill.policy.time.Moment;

/**
 * Idempotent requests that a caller may repeat at other nodes under the same key: their retry credits are split in advance
 * by rank, so that the sum over all nodes is the grant even when the nodes can't reach each other.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class ClientRetries {

    private final NodeIdentity identity;
    private final ServiceDirectory directory;
    private Optional<WorkRunner> runner = Optional.empty();

    ClientRetries(NodeIdentity identity, ServiceDirectory directory) {
        this.identity = identity;
        this.directory = directory;
    }

    /** Breaks the circle between this object and the runner, which need each other. */
    void runner(WorkRunner starter) {
        runner = Optional.of(starter);
    }

    void dispatch(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        List<NodeName> roster = directory.configuration(identity.service()).orElseThrow().copies().stream()
                .map(CopyEntry::node)
                .toList();
        int rank = HolderRank.rank(roster, facts.request()).indexOf(identity.node());
        int share = rank < 0 ? 0 : CreditShares.share(credits, rank, roster.size());
        runner.orElseThrow().start(now, new Work(facts, new RequestLedger(share), Work.Scope.OWN_SERVICE, origin));
    }
}
