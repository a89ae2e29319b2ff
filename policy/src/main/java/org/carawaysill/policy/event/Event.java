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

/** An input of the policy: something that happened to the node. Immutable and thread safe. */
public sealed interface Event {

    /**
     * A caller's complete request arrived at the ingress of this node's service.
     *
     * @param exchange the HTTP exchange to answer
     * @param caller the caller
     * @param key the caller's idempotency key, if it sent one; the same for each of its retries
     * @param content the request
     */
    record CallerRequest(ExchangeIdentifier exchange, CallerName caller, Optional<String> key, RequestContent content)
            implements Event {}

    /**
     * The local copy calls a deeper service.
     *
     * @param exchange the HTTP exchange to answer
     * @param target the called service
     * @param parent the attempt that the copy makes the call for, if the copy passed its identifier on
     * @param content the request
     */
    record CopyCall(
            ExchangeIdentifier exchange, ServiceName target, Optional<AttemptIdentifier> parent, RequestContent content)
            implements Event {}

    /**
     * The caller or the local copy closed an exchange before it was answered.
     *
     * @param exchange the exchange
     */
    record ExchangeClosed(ExchangeIdentifier exchange) implements Event {}

    /**
     * The local copy answered, or the attempt to get its answer failed.
     *
     * @param attempt the attempt
     * @param outcome answered; not run if nothing of the request was written; otherwise unknown
     */
    record CopyAnswered(AttemptIdentifier attempt, Outcome outcome) implements Event {}

    /**
     * A complete message from another node arrived.
     *
     * @param from the other node
     * @param message the message
     */
    record PeerReceived(NodeName from, PeerMessage message) implements Event {}

    /**
     * A connection to another node was opened and its handshake completed.
     *
     * @param peer the other node
     * @param incarnation the start time of its process in milliseconds since 1970
     */
    record PeerConnected(NodeName peer, long incarnation) implements Event {}

    /**
     * The connection to another node was lost. Messages already written to it may have arrived.
     *
     * @param peer the other node
     */
    record PeerLost(NodeName peer) implements Event {}

    /**
     * A message could not be sent; no part of it was written.
     *
     * @param peer the other node
     * @param message the message
     */
    record PeerUnsent(NodeName peer, PeerMessage message) implements Event {}

    /**
     * The platform's configuration service returned a document that passed validation.
     *
     * @param configuration the document
     * @param text the text of the document, which is relayed to other nodes
     */
    record ConfigurationRead(ServiceConfiguration configuration, String text) implements Event {}

    /**
     * The platform's configuration service has no newer version of a document.
     *
     * @param service the service
     */
    record ConfigurationUnchanged(ServiceName service) implements Event {}

    /**
     * The platform's configuration service returned a document that failed validation.
     *
     * @param service the service
     * @param version the platform's version number of the document
     * @param message the validation errors, in one line
     */
    record ConfigurationRefused(ServiceName service, long version, String message) implements Event {}

    /**
     * Reading from the platform failed.
     *
     * @param service the service
     * @param step the step that failed
     * @param message the failure, in one line
     */
    record ConfigurationReadFailed(ServiceName service, Step step, String message) implements Event {}

    /**
     * The platform's list of VMs was read.
     *
     * @param list the list
     */
    record VmListRead(VmList list) implements Event {}

    /** The operator or a termination signal requested a planned stop. */
    record DrainOrdered() implements Event {}

    /** The policy's next wake-up is due. */
    record WakeUp() implements Event {}
}
