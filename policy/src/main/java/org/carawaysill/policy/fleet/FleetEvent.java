package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.message.PeerMessage;

/** What can happen to a node of a fleet. Immutable and thread safe. */
public sealed interface FleetEvent {

    /**
     * A whole request of a client or of the local copy arrived.
     *
     * @param exchange the HTTP exchange to answer
     * @param requestName the client's own name for the request
     * @param host the host that it names
     * @param patience how long the client waits, if it says so
     * @param credential what shows its organisation
     * @param content the request, without the fields of the credential
     */
    record RequestArrived(
            ExchangeIdentifier exchange,
            String requestName,
            String host,
            Optional<Duration> patience,
            Credential credential,
            RequestContent content)
            implements FleetEvent {}

    /**
     * The client closed an exchange before its answer.
     *
     * @param exchange the exchange
     */
    record ExchangeClosed(ExchangeIdentifier exchange) implements FleetEvent {}

    /**
     * The local copy's answer, or the failure to get one.
     *
     * @param attempt the attempt
     * @param outcome answered; not run, where that is certain; else unknown
     */
    record CopyAnswered(AttemptIdentifier attempt, Outcome outcome) implements FleetEvent {}

    /**
     * The local copy's process has ended: its connections broke, and nobody listens at its address.
     *
     * @param attempts all that was written to it and not answered
     */
    record CopyCrashed(List<AttemptIdentifier> attempts) implements FleetEvent {

        public CopyCrashed {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * A connection to another node carries messages now.
     *
     * @param peer the other node
     */
    record PeerConnected(NodeName peer) implements FleetEvent {}

    /**
     * The connection to another node ended; what was written to it may have arrived.
     *
     * @param peer the other node
     */
    record PeerLost(NodeName peer) implements FleetEvent {}

    /**
     * A message was not sent, and no byte of it was written.
     *
     * @param peer the other node
     * @param message the message
     */
    record PeerUnsent(NodeName peer, PeerMessage message) implements FleetEvent {}

    /**
     * A message of another node arrived whole.
     *
     * @param from the other node
     * @param message the message
     */
    record PeerReceived(NodeName from, PeerMessage message) implements FleetEvent {}

    /**
     * The platform gave published entries.
     *
     * @param era which of the platform's histories the revisions belong to; empty where it tells none that can be read
     * @param asOf all that was published up to this revision has been given
     * @param complete whether these are all entries that there are, not only the changed ones
     * @param entries the entries
     */
    record EntriesRead(OptionalLong era, long asOf, boolean complete, List<PublishedEntry> entries)
            implements FleetEvent {

        public EntriesRead {
            entries = List.copyOf(entries);
        }
    }

    /**
     * A read of published entries failed.
     *
     * @param failure how it failed
     */
    record EntriesReadFailed(ReadFailure failure) implements FleetEvent {}

    /** How a read of published entries failed. */
    enum ReadFailure {
        /** The platform refused it. */
        REFUSED,
        /** No connection, or it broke. */
        UNREACHABLE,
        /** No answer in time. */
        TIMEOUT,
        /** The answer can't be understood. */
        UNREADABLE,
        /** The platform came back from an older copy while it was being read. */
        ERA_CHANGED,
        /** The changes since the revision asked for are no longer kept. */
        HISTORY_GONE
    }

    /**
     * The operators changed the settings of this node.
     *
     * @param settings the new settings
     */
    record SettingsChanged(FleetSettings settings) implements FleetEvent {}

    /** The process is to end once its requests are finished. */
    record StopOrdered() implements FleetEvent {}

    /** Time passed; sent when the policy's next wake-up is due. */
    record WakeUp() implements FleetEvent {}
}
