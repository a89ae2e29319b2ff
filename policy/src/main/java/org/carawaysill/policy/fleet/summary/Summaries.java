package org.carawaysill.policy.fleet.summary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PublishedState;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.NodeState;

/**
 * The latest summaries from several aggregators.
 *
 * <p>Invariant: a summary older than {@link #SUMMARY_VALIDITY} does not count. Not thread safe: owned by the policy.
 */
public final class Summaries {

    /**
     * Three missed intervals: by then the nodes of the lost aggregator report to another one, and would be counted
     * twice.
     */
    static final Duration SUMMARY_VALIDITY = Duration.ofMillis(1500);

    private final LatestByNode<StateSummary> bySender = new LatestByNode<>();

    /**
     * Takes in a summary, which replaces the sender's last one.
     *
     * @param now the monotonic time
     * @param sender the aggregator
     * @param summary the summary
     */
    public void receive(long now, NodeName sender, StateSummary summary) {
        bySender.put(now, sender, summary);
    }

    /**
     * Notes that the connection to a node ended.
     *
     * @param sender the node
     */
    public void lost(NodeName sender) {
        bySender.remove(sender);
    }

    /**
     * Discards summaries that are too old.
     *
     * @param now the monotonic time
     */
    public void passTime(long now) {
        bySender.dropOlderThan(now, SUMMARY_VALIDITY);
    }

    /**
     * Returns the senders of the summaries.
     *
     * @return the names
     */
    public List<NodeName> senders() {
        return bySender.nodes();
    }

    /**
     * Returns the summaries, the latest last.
     *
     * @return the summaries
     */
    public List<StateSummary> all() {
        return bySender.values();
    }

    /**
     * Returns the state of each node that any of the summaries lists, taken from the latest that does.
     *
     * @param summaries the summaries, the latest last
     * @return the states
     */
    public static Map<NodeName, NodeState> states(List<StateSummary> summaries) {
        Map<NodeName, NodeState> states = new LinkedHashMap<>();
        summaries.forEach(summary -> summary.nodes().forEach(state -> states.put(state.node(), state)));
        return states;
    }

    /**
     * Merges summaries of different nodes into one.
     *
     * @param published the published state that this node acts on
     * @param summaries the summaries, the latest last; no node's demand is in two of them
     * @return the merged summary
     */
    public static StateSummary merge(PublishedState published, List<StateSummary> summaries) {
        RouteSums sums = new RouteSums();
        UseSums uses = new UseSums();
        summaries.forEach(summary -> {
            sums.add(summary.routes());
            uses.add(summary.uses());
        });
        return new StateSummary(published, new ArrayList<>(states(summaries).values()), sums.summaries(), uses.uses());
    }
}
