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
 * The latest summaries of several nodes that sum up.
 *
 * <p>Invariant: a summary older than {@link #KEPT_FOR} counts for nothing. Not thread safe: owned by the policy.
 */
public final class Summaries {

    /** Three intervals missed: by then the nodes behind it report to another one, and would be added twice. */
    static final Duration KEPT_FOR = Duration.ofMillis(1500);

    private final LatestByNode<StateSummary> bySender = new LatestByNode<>();

    /**
     * Receives a summary, in place of the sender's last one.
     *
     * @param now the monotonic time
     * @param sender who sums up
     * @param summary what it says
     */
    public void told(long now, NodeName sender, StateSummary summary) {
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
     * Forgets what is too old.
     *
     * @param now the monotonic time
     */
    public void passTime(long now) {
        bySender.dropOlderThan(now, KEPT_FOR);
    }

    /**
     * Names who sent them.
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
     * Returns the state of each node that one of some summaries lists, by the last that does.
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
     * Joins summaries of different nodes to one of all of them.
     *
     * @param published what this node decides by of all that is published
     * @param summaries the summaries, the latest last; no node's demand is in two of them
     * @return the joined summary
     */
    public static StateSummary join(PublishedState published, List<StateSummary> summaries) {
        RouteSums sums = new RouteSums();
        UseSums uses = new UseSums();
        summaries.forEach(summary -> {
            sums.add(summary.routes());
            uses.add(summary.uses());
        });
        return new StateSummary(published, new ArrayList<>(states(summaries).values()), sums.summaries(), uses.uses());
    }
}
