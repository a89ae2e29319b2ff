package org.carawaysill.policy.fleet.summary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.NodeState;

/**
 * Aggregates the reports of the nodes that report to this one.
 *
 * <p>Any node that receives such reports aggregates them, without an election. Not thread safe: owned by the policy.
 */
public final class ReportAggregator {

    /**
     * A node that has not reported for this long is omitted from the summary, and receives no requests from nodes that
     * have not heard from it themselves: the time of two missed reports, plus the time for a retransmission of a lost
     * packet.
     */
    static final Duration REPORT_VALIDITY = Duration.ofMillis(1100);

    private final LatestByNode<NodeReport> members = new LatestByNode<>();

    /**
     * Takes in a report of a member.
     *
     * @param now the monotonic time
     * @param node the reporting node
     * @param report the report
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
     * Removes the members that have stopped reporting.
     *
     * @param now the monotonic time
     */
    public void passTime(long now) {
        members.dropOlderThan(now, REPORT_VALIDITY);
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
     * Returns the summary of the members.
     *
     * @param self this node
     * @param own its own report, including demands and costs if no other node sums them up
     * @param withCallers for which requests to group nodes by their rates
     * @return the state of the members and of this node
     */
    public StateSummary summary(NodeName self, NodeReport own, Predicate<DemandKey> withCallers) {
        List<NodeState> states = new ArrayList<>();
        RouteSums sums = new RouteSums(withCallers);
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
