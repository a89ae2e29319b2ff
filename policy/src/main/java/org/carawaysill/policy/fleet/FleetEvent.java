package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.message.PeerMessage;

/** An event that a node of a fleet handles. Immutable and thread safe. */
public sealed interface FleetEvent {

    /**
     * A client or the local copy sent a complete request.
     *
     * @param exchange the HTTP exchange to answer
     * @param requestName the client's own name for the request
     * @param host the host that it names
     * @param clientTimeout how long the client waits, if it says so
     * @param credential the credential that identifies its organisation
     * @param content the request, without the header fields of the credential
     */
    record RequestArrived(
            ExchangeIdentifier exchange,
            String requestName,
            String host,
            Optional<Duration> clientTimeout,
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
     * The local copy answered, or failed to answer.
     *
     * @param attempt the attempt
     * @param outcome answered; not run, if that is certain; otherwise unknown
     * @param notice what the answer states about the copy; empty if no whole answer of the copy arrived
     */
    record CopyAnswered(AttemptIdentifier attempt, Outcome outcome, Optional<CopyNotice> notice) implements FleetEvent {

        /**
         * Creates an event for an attempt that ended without an answer of the copy.
         *
         * @param attempt the attempt
         * @param outcome not run, if that is certain; otherwise unknown
         */
        public CopyAnswered(AttemptIdentifier attempt, Outcome outcome) {
            this(attempt, outcome, Optional.empty());
        }
    }

    /**
     * The local copy's process has ended: its connections broke, and its address refuses new ones.
     *
     * @param attempts all attempts that were written to it and not answered
     */
    record CopyCrashed(List<AttemptIdentifier> attempts) implements FleetEvent {

        public CopyCrashed {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * A connection to another node is established.
     *
     * @param peer the other node
     * @param incarnation the start time of its process in milliseconds since 1970
     */
    record PeerConnected(NodeName peer, long incarnation) implements FleetEvent {}

    /**
     * The connection to another node ended; messages written to it may have arrived.
     *
     * @param peer the other node
     */
    record PeerLost(NodeName peer) implements FleetEvent {}

    /**
     * A message was not sent: no byte of it was written.
     *
     * @param peer the other node
     * @param message the message
     */
    record PeerUnsent(NodeName peer, PeerMessage message) implements FleetEvent {}

    /**
     * A complete message of another node arrived.
     *
     * @param from the other node
     * @param message the message
     */
    record PeerReceived(NodeName from, PeerMessage message) implements FleetEvent {}

    /**
     * The platform answered a read of published entries.
     *
     * @param era the era that the revisions belong to; empty if the answer contains no readable era
     * @param asOf the revision up to which the answer contains all changes
     * @param complete whether these are all entries, not only the changed ones
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
        /** The platform refused the read. */
        REFUSED,
        /** The connection could not be established, or it broke. */
        UNREACHABLE,
        /** No answer came in time. */
        TIMEOUT,
        /** The answer can't be parsed. */
        UNREADABLE,
        /** The platform was restored from an older state during the read. */
        ERA_CHANGED,
        /** The platform no longer keeps the changes since the requested revision. */
        HISTORY_GONE
    }

    /**
     * The operators changed the settings of this node.
     *
     * @param settings the new settings
     */
    record SettingsChanged(FleetSettings settings) implements FleetEvent {}

    /** A planned stop was requested: the process ends once its requests are finished. */
    record StopRequested() implements FleetEvent {}

    /**
     * The node reports the answers that it has not written yet, as {@link FleetEffect.CheckUnwritten} asked.
     *
     * @param toClients answers to clients and to the local copy's calls
     * @param toNodes answers to other nodes
     */
    record UnwrittenChecked(UnwrittenAnswers toClients, UnwrittenAnswers toNodes) implements FleetEvent {}

    /** Time passed; sent when the policy's next wake-up is due. */
    record WakeUp() implements FleetEvent {}
}
