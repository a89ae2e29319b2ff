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

/** An output of the policy: an action that the node performs. Immutable and thread safe. */
public sealed interface Effect {

    /**
     * Write a request to the local copy, unless its deadline has passed by the time of writing.
     *
     * @param attempt the attempt, whose identifier the copy passes on with its own calls
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
     * Send the final outcome of a request to a caller or to the local copy.
     *
     * @param exchange the HTTP exchange
     * @param outcome the final outcome
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
     * @param host its IP address
     * @param port the TCP port on which it accepts connections of nodes
     */
    record ConnectPeer(NodeName peer, String host, int port) implements Effect {}

    /**
     * Close the connection to another node.
     *
     * @param peer the other node
     */
    record DisconnectPeer(NodeName peer) implements Effect {}

    /**
     * Read a service's document from the platform.
     *
     * @param service the service
     * @param knownVersion the version that the node already has, 0 for none
     * @param maximumWait how long the platform may hold the read open until a newer version exists (a long poll); zero for
     *     an immediate answer
     */
    record ReadConfiguration(ServiceName service, long knownVersion, Duration maximumWait) implements Effect {}

    /** Read the platform's list of VMs. */
    record ReadVmList() implements Effect {}

    /**
     * Increment a counter.
     *
     * @param counted the occurrence that is counted
     */
    record Count(Counted counted) implements Effect {}

    /**
     * Log a change of state.
     *
     * @param step the step in which it changed
     * @param peer the node whose state changed
     * @param message the change, in one line
     */
    record LogChange(Step step, NodeName peer, String message) implements Effect {}

    /**
     * Publish the node's current state for operators and metrics.
     *
     * @param status the state
     */
    record PublishStatus(NodeStatus status) implements Effect {}

    /** Stop the process, since no request is in flight any more. */
    record StopProcess() implements Effect {}
}
