package org.carawaysill.policy.fleet;

import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.StateSummary;

/**
 * Estimates the bytes of a message between two nodes from its fields, assuming names of about ten characters.
 *
 * <p>Stateless and thread safe.
 */
final class MessageSizes {

    private static final int REPORT = 60;
    private static final int ROUTE = 35;
    private static final int COST = 17;
    private static final int NODE = 27;
    private static final int REQUEST = 200;
    private static final int ANSWER = 130;
    private static final int ENTRY = 260;
    private static final int SHORT = 24;

    private MessageSizes() {}

    static long of(PeerMessage message) {
        return switch (message) {
            case PeerMessage.CopyRequest request ->
                REQUEST + request.content().body().length();
            case PeerMessage.AttemptBody follows -> SHORT + follows.body().length();
            case PeerMessage.CopyAnswer answer
            when answer.outcome() instanceof Outcome.Answered answered ->
                ANSWER + answered.content().body().length();
            case PeerMessage.NodeReport report ->
                REPORT
                        + ROUTE * report.demands().size()
                        + (ROUTE + COST) * report.costs().size();
            case PeerMessage.GroupSummary(StateSummary summary) -> of(summary);
            case PeerMessage.FleetSummary(StateSummary summary) -> of(summary);
            case PeerMessage.Entries entries ->
                SHORT + (long) ENTRY * entries.entries().size();
            default -> SHORT;
        };
    }

    private static long of(StateSummary summary) {
        long costs = summary.routes().stream()
                .mapToLong(route -> route.costs().size())
                .sum();
        return SHORT + NODE * summary.nodes().size() + ROUTE * summary.routes().size() + COST * costs;
    }
}
