package org.carawaysill.policy.event;

import java.util.Optional;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.policy.message.PeerMessage;

/** What can happen to a node. Immutable and thread safe. */
public sealed interface Event {

    /**
     * A caller's whole request arrived at the ingress of this node's service.
     *
     * @param exchange the HTTP exchange to answer
     * @param caller who asks
     * @param key the caller's idempotency key, if it sent one; the same for each of its retries
     * @param content the request
     */
    record CallerRequest(ExchangeIdentifier exchange, CallerName caller, Optional<String> key, RequestContent content)
            implements Event {}

    /**
     * The local copy calls a deeper service.
     *
     * @param exchange the HTTP exchange to answer
     * @param target the service called
     * @param parent the attempt during which the copy calls, if the copy passed it on
     * @param content the request
     */
    record CopyCall(
            ExchangeIdentifier exchange, ServiceName target, Optional<AttemptIdentifier> parent, RequestContent content)
            implements Event {}

    /**
     * The caller or the local copy closed an exchange before its answer.
     *
     * @param exchange the exchange
     */
    record ExchangeClosed(ExchangeIdentifier exchange) implements Event {}

    /**
     * The local copy's answer, or the failure to get one.
     *
     * @param attempt the attempt
     * @param outcome answered; not run, when nothing of the request was written; else unknown
     */
    record CopyAnswered(AttemptIdentifier attempt, Outcome outcome) implements Event {}

    /**
     * A message of another node arrived whole.
     *
     * @param from the other node
     * @param message the message
     */
    record PeerReceived(NodeName from, PeerMessage message) implements Event {}

    /**
     * A connection to another node was opened, and both greeted.
     *
     * @param peer the other node
     * @param incarnation the start time of its process in milliseconds since 1970
     */
    record PeerConnected(NodeName peer, long incarnation) implements Event {}

    /**
     * The connection to another node was lost; whatever had been written to it may have arrived.
     *
     * @param peer the other node
     */
    record PeerLost(NodeName peer) implements Event {}

    /**
     * A message could not be sent, and nothing of it was written.
     *
     * @param peer the other node
     * @param message the message
     */
    record PeerUnsent(NodeName peer, PeerMessage message) implements Event {}

    /**
     * The platform's configuration service gave a document that passed the checks.
     *
     * @param configuration the document
     * @param text the document's text, as it is relayed to other nodes
     */
    record ConfigurationRead(ServiceConfiguration configuration, String text) implements Event {}

    /**
     * The platform's configuration service has nothing newer.
     *
     * @param service the service
     */
    record ConfigurationUnchanged(ServiceName service) implements Event {}

    /**
     * The platform's configuration service gave a document that failed the checks.
     *
     * @param service the service
     * @param version the platform's version number of the document
     * @param message its faults, in one line
     */
    record ConfigurationRefused(ServiceName service, long version, String message) implements Event {}

    /**
     * A read at the platform failed.
     *
     * @param service the service
     * @param step where it failed
     * @param message what failed, in one line
     */
    record ConfigurationReadFailed(ServiceName service, Step step, String message) implements Event {}

    /**
     * The platform's list of VMs was read.
     *
     * @param list the list
     */
    record VmListRead(VmList list) implements Event {}

    /** The operator, or the signal to terminate, orders a planned stop. */
    record DrainOrdered() implements Event {}

    /** Time passed; sent when the policy's next wake-up is due. */
    record WakeUp() implements Event {}
}
