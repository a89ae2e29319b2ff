package org.carawaysill.policy.effect;

import java.time.Duration;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Counted;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.message.PeerMessage;

/** What the policy asks its node to do. Immutable and thread safe. */
public sealed interface Effect {

    /**
     * Write a request to the local copy, unless its deadline has passed by the time of writing.
     *
     * @param attempt the attempt, which the copy passes on with its own calls
     * @param content the request
     * @param deadlineNanos the deadline on the monotonic clock
     */
    record SendToCopy(AttemptIdentifier attempt, RequestContent content, long deadlineNanos) implements Effect {}

    /**
     * Cancel a request at the local copy and close its connection.
     *
     * @param attempt the attempt
     */
    record CancelAtCopy(AttemptIdentifier attempt) implements Effect {}

    /**
     * Tell a caller or the local copy what its request came to.
     *
     * @param exchange the HTTP exchange
     * @param outcome the final answer
     */
    record AnswerExchange(ExchangeIdentifier exchange, Outcome outcome) implements Effect {}

    /**
     * Send a message to another node.
     *
     * @param peer the other node
     * @param message the message
     */
    record SendToPeer(NodeName peer, PeerMessage message) implements Effect {}

    /**
     * Keep a connection open to another node.
     *
     * @param peer the other node
     * @param host its IP number
     * @param port its TCP port for nodes
     */
    record ConnectPeer(NodeName peer, String host, int port) implements Effect {}

    /**
     * Close the connection to another node.
     *
     * @param peer the other node
     */
    record DisconnectPeer(NodeName peer) implements Effect {}

    /**
     * Read a service's document at the platform.
     *
     * @param service the service
     * @param knownVersion the version already known, 0 for none
     * @param maximumWait how long the platform may hold the read open for a newer version; zero for a plain read
     */
    record ReadConfiguration(ServiceName service, long knownVersion, Duration maximumWait) implements Effect {}

    /** Read the platform's list of VMs. */
    record ReadVmList() implements Effect {}

    /**
     * Count an occurrence.
     *
     * @param counted what occurred
     */
    record Count(Counted counted) implements Effect {}

    /**
     * Log a change of state.
     *
     * @param step where it changed
     * @param peer the node that it concerns
     * @param message what changed, in one line
     */
    record LogChange(Step step, NodeName peer, String message) implements Effect {}

    /**
     * Show the node's present state to operators and metrics.
     *
     * @param status the state
     */
    record PublishStatus(NodeStatus status) implements Effect {}

    /** Every request in flight is finished: the process may end. */
    record StopProcess() implements Effect {}
}
