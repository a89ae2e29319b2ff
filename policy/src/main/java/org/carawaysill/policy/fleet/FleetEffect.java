package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Counted;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.message.PeerMessage;

/** An action that the policy of a fleet's node asks the node to perform. Immutable and thread safe. */
public sealed interface FleetEffect {

    /**
     * Write a request to the local copy, unless its deadline has passed by the time of writing.
     *
     * @param attempt the attempt
     * @param copy the only copy that may run it
     * @param callerService the service of the node at which the request entered
     * @param organisation the organisation whose key it carried; empty if it carried none
     * @param requestName the client's own name for the request, which the answer must echo
     * @param content the request
     * @param deadlineNanos the deadline on the monotonic clock
     */
    record SendToCopy(
            AttemptIdentifier attempt,
            CopyName copy,
            ServiceName callerService,
            Optional<OrganisationName> organisation,
            String requestName,
            RequestContent content,
            long deadlineNanos)
            implements FleetEffect {}

    /**
     * Cancel a request at the local copy and close its connection.
     *
     * @param attempt the attempt
     */
    record CancelAtCopy(AttemptIdentifier attempt) implements FleetEffect {}

    /**
     * Close the idle connections to the local copy: its process has restarted, and data sent on a connection to the
     * earlier process is lost.
     */
    record CloseIdleCopyConnections() implements FleetEffect {}

    /**
     * Send a client the outcome of its request.
     *
     * @param exchange the HTTP exchange
     * @param outcome the final answer
     */
    record AnswerExchange(ExchangeIdentifier exchange, Outcome outcome) implements FleetEffect {}

    /**
     * Send a message to another node.
     *
     * @param peer the other node
     * @param message the message
     */
    record SendToPeer(NodeName peer, PeerMessage message) implements FleetEffect {}

    /**
     * Keep a connection open to another node.
     *
     * @param peer the other node, named by the IP number of its VM
     */
    record ConnectPeer(NodeName peer) implements FleetEffect {}

    /**
     * Close the connection to another node.
     *
     * @param peer the other node
     */
    record DisconnectPeer(NodeName peer) implements FleetEffect {}

    /**
     * Close the connection to another node, which is silent, and reconnect.
     *
     * @param peer the other node
     */
    record ResetPeer(NodeName peer) implements FleetEffect {}

    /**
     * Read published entries at the platform.
     *
     * @param after the revision whose later changes are requested; empty for all entries
     * @param maximumWait how long the platform may hold the read until there is a change
     */
    record ReadEntries(OptionalLong after, Duration maximumWait) implements FleetEffect {}

    /**
     * Apply new limits to clients.
     *
     * @param limits the limits
     */
    record ApplyClientLimits(ClientLimits limits) implements FleetEffect {}

    /**
     * Report to the platform whether clients may be sent to this node.
     *
     * @param ready whether they may
     */
    record ShowReadiness(boolean ready) implements FleetEffect {}

    /**
     * Count an event.
     *
     * @param counted the counter to increase
     */
    record Count(Counted counted) implements FleetEffect {}

    /**
     * Log a decision.
     *
     * @param decision the decision with its inputs
     */
    record Log(Decision decision) implements FleetEffect {}

    /**
     * Publish the number of suspected requests as a metric.
     *
     * @param suspected requests suspected of having crashed copies, including quarantined ones
     * @param quarantined those of them that are refused
     */
    record ShowSuspects(int suspected, int quarantined) implements FleetEffect {}

    /**
     * Publish the limit that the local copy names as a metric.
     *
     * @param requestsPerSecond the limit, infinite if the copy names none
     */
    record ShowRateLimit(double requestsPerSecond) implements FleetEffect {}

    /** Report at once which answers are not written yet, by {@link FleetEvent.UnwrittenChecked}. */
    record CheckUnwritten() implements FleetEffect {}

    /** End the process: every request is finished, or the time for a planned stop is over. */
    record StopProcess() implements FleetEffect {}
}
