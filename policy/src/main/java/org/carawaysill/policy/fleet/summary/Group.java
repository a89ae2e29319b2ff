package org.carawaysill.policy.fleet.summary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.NodeState;

/**
 * The nodes that report to this one, so that it sums them up.
 *
 * <p>Whoever gets such reports sums up; no election has to agree on it. Not thread safe: owned by the policy.
 */
public final class Group {

    /**
     * A node that has not reported for so long is not listed, and gets no work of those who have not heard it themselves:
     * two reports missed, and the time in which the operating system sends a lost packet again.
     */
    static final Duration LISTED_FOR = Duration.ofMillis(1100);

    private final LatestByNode<NodeReport> members = new LatestByNode<>();

    /**
     * Receives a report that is to be summed up.
     *
     * @param now the monotonic time
     * @param node who reports
     * @param report what it says
     */
    public void reported(long now, NodeName node, NodeReport report) {
        members.put(now, node, report);
    }

    /**
     * Notes that the connection to a node ended.
     *
     * @param node the node
     */
    public void lost(NodeName node) {
        members.remove(node);
    }

    /**
     * Forgets who reports no more.
     *
     * @param now the monotonic time
     */
    public void passTime(long now) {
        members.dropOlderThan(now, LISTED_FOR);
    }

    /**
     * Returns the nodes that report to this one.
     *
     * @return the names
     */
    public List<NodeName> members() {
        return members.nodes();
    }

    /**
     * Sums up.
     *
     * @param self this node
     * @param own its own report, with demands and costs where no other node adds them up
     * @return the state of the members and of this node
     */
    public StateSummary summary(NodeName self, NodeReport own) {
        List<NodeState> states = new ArrayList<>();
        RouteSums sums = new RouteSums();
        UseSums uses = new UseSums();
        states.add(state(self, own));
        sums.add(own);
        uses.add(own.uses());
        members.forEach((node, report) -> {
            states.add(state(node, report));
            sums.add(report);
            uses.add(report.uses());
        });
        return new StateSummary(own.published(), states, sums.summaries(), uses.uses());
    }

    private static NodeState state(NodeName node, NodeReport report) {
        return new NodeState(
                node, report.service(), report.leaving(), report.readsPlatform(), report.load(), report.workSeconds());
    }
}
