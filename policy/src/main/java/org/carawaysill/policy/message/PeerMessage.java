package org.carawaysill.policy.message;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RequestContent;

/**
 * A message between nodes. Points in time are sent as remaining durations, since nodes share no monotonic clock.
 * Immutable and thread safe.
 */
public sealed interface PeerMessage {

    /**
     * A request that the receiver sends to its local copy, or forwards as the request's holder.
     *
     * @param attempt this attempt, echoed in the answer
     * @param request the caller's request over all its attempts
     * @param service the receiver's service
     * @param operation the name of the operation, as classified by the sender
     * @param caller the caller at the entry
     * @param priority the place in the order of refusal, assigned at the entry
     * @param idempotent whether the request may run more than once
     * @param key the idempotency key, if there is one
     * @param retryCredits the retries that the receiver and the services below it may spend; unspent ones are returned
     * @param remainingNanos time left until the deadline
     * @param depth hops from the entry, which is 0
     * @param purpose what the receiver is asked to do
     * @param content the request
     */
    record PeerRequest(
            AttemptIdentifier attempt,
            RequestIdentifier request,
            ServiceName service,
            String operation,
            CallerName caller,
            Priority priority,
            boolean idempotent,
            Optional<String> key,
            int retryCredits,
            long remainingNanos,
            int depth,
            Purpose purpose,
            RequestContent content)
            implements PeerMessage {}

    /** The action that the sender of a request asks for. */
    enum Purpose {
        /** Send it to the local copy. */
        RUN,
        /** Decide as its holder: run it at the local or another copy, at most once. */
        HOLD
    }

    /**
     * The answer to a {@link PeerRequest}.
     *
     * @param attempt the attempt answered
     * @param outcome its outcome
     * @param unspentCredits the retry credits that are returned
     * @param load the load of the answering node
     * @param cuts the admission cut of the answering node's service and of each service that it calls, directly or not
     */
    record PeerAnswer(
            AttemptIdentifier attempt, Outcome outcome, int unspentCredits, LoadReport load, List<ServiceCut> cuts)
            implements PeerMessage {

        public PeerAnswer {
            cuts = List.copyOf(cuts);
        }
    }

    /**
     * The sender no longer waits for an attempt.
     *
     * @param attempt the attempt
     */
    record CancelAttempt(AttemptIdentifier attempt) implements PeerMessage {}

    /**
     * The sender asks for an attempt that has not begun at the receiver's copy, which answers it as not run. One that runs
     * goes on and gets its own answer.
     *
     * @param attempt the attempt
     */
    record WithdrawAttempt(AttemptIdentifier attempt) implements PeerMessage {}

    /** The sender is draining and must not receive new work. */
    record DrainNotice() implements PeerMessage {}

    /**
     * A periodic report that the sender is running, with its load and configuration versions.
     *
     * @param sequence the heartbeat's number, which rises by one with each heartbeat of the sender's process
     * @param load the sender's load
     * @param versions the configuration versions in force at the sender
     */
    record Heartbeat(long sequence, LoadReport load, Map<ServiceName, Long> versions) implements PeerMessage {

        public Heartbeat {
            versions = Map.copyOf(versions);
        }
    }

    /**
     * A member of a roster. A VM that was replaced under the same name at another address counts as another member.
     *
     * @param node the node's name
     * @param host the IP address of its VM
     * @param port the TCP port at which it listens for other nodes
     */
    record RosterMember(NodeName node, String host, int port) {}

    /**
     * The members of one published roster.
     *
     * @param version the version of the configuration that published it
     * @param members the nodes, ordered by name
     */
    record RosterView(long version, List<RosterMember> members) {

        public RosterView {
            members = List.copyOf(members);
        }
    }

    /**
     * Asks for a lease under which the sender may act as holder.
     *
     * @param service the service of the roster
     * @param requester the sender as described by its settings
     * @param incarnation the start time of the sender's process in milliseconds since 1970
     * @param wallMillis the sender's wall clock at sending, since 1970
     * @param sequence echoed in the reply
     * @param durationNanos the requested length, counted by the sender from before sending this; zero returns the lease
     * @param rosterVersion the version of the roster under which the sender would act
     * @param rosterDigest the digest of that roster's members
     * @param previousDigest the digest of the members of the roster under which the sender acted before, 0 for none
     * @param closedBelow the lowest roster version under which leases can still be granted
     * @param closedForNanos how long that bound has been in force
     * @param rosters rosters that may be unknown to the receiver; empty in steady state
     */
    record LeaseRequest(
            ServiceName service,
            RosterMember requester,
            long incarnation,
            long wallMillis,
            long sequence,
            long durationNanos,
            long rosterVersion,
            long rosterDigest,
            long previousDigest,
            long closedBelow,
            long closedForNanos,
            List<RosterView> rosters)
            implements PeerMessage {

        public LeaseRequest {
            rosters = List.copyOf(rosters);
        }
    }

    /** The decision of a granter. */
    enum LeaseVerdict {
        /** The sender may act for all work that the requested roster assigns to it. */
        GRANTED,
        /** The sender may act for the work that both the requested and its previous roster assign to it. */
        GRANTED_FOR_UNMOVED,
        /** No lease for now: another lease is in force, a newer roster is known, or the granter has just started. */
        REFUSED,
        /** No lease until the granter has received the members of the roster. */
        UNKNOWN_ROSTER,
        /** No lease while the wall clocks of the sender and of the granter are too far apart. */
        CLOCKS_APART
    }

    /**
     * The reply to a {@link LeaseRequest}.
     *
     * @param service the service
     * @param granter the sender as described by its settings
     * @param sequence the request's sequence
     * @param verdict the decision
     * @param recovering whether the sender may have lost promises that it made before a restart
     * @param freeNanos how long the sender has had no lease in force that excludes a full grant
     * @param freeForUnmovedNanos how long the sender has had no lease in force that excludes a grant for unmoved work
     * @param highestVersion the highest roster version known to the sender
     * @param closedBelow the lowest roster version under which leases can still be granted
     * @param closedForNanos how long that bound has been in force
     * @param rosters rosters that may be unknown to the receiver; empty in steady state
     */
    record LeaseReply(
            ServiceName service,
            RosterMember granter,
            long sequence,
            LeaseVerdict verdict,
            boolean recovering,
            long freeNanos,
            long freeForUnmovedNanos,
            long highestVersion,
            long closedBelow,
            long closedForNanos,
            List<RosterView> rosters)
            implements PeerMessage {

        public LeaseReply {
            rosters = List.copyOf(rosters);
        }
    }

    /**
     * Hands over the sender's table of work that must run at most once, when the sender leaves.
     *
     * @param service the service
     * @param rosterDigest the digest of the members of the roster under which the sender acted
     * @param vouchedFromMillis every run of an identifier minted after this is in the table, wall clock since 1970
     * @param vouchedUntilMillis the sender stopped running work at this time, wall clock since 1970
     * @param part the number of this part, from 0
     * @param parts how many parts there are
     * @param entries a part of the table
     */
    record HolderHandover(
            ServiceName service,
            long rosterDigest,
            long vouchedFromMillis,
            long vouchedUntilMillis,
            int part,
            int parts,
            List<HolderEntry> entries)
            implements PeerMessage {

        public HolderHandover {
            entries = List.copyOf(entries);
        }
    }

    /**
     * A request in the table of a {@link HolderHandover}.
     *
     * @param request the request
     * @param mintedMillis when its identifier was minted, wall clock since 1970; empty if the identifier holds no time
     * @param contentHash a hash of its content, which detects a reused identifier
     * @param outcome its outcome; empty while it may still be running
     */
    record HolderEntry(
            RequestIdentifier request, OptionalLong mintedMillis, int contentHash, Optional<Outcome> outcome) {}

    /**
     * Requests a service's document if the receiver has a newer version.
     *
     * @param service the service
     * @param knownVersion the version that the sender has, 0 for none
     */
    record ConfigurationWanted(ServiceName service, long knownVersion) implements PeerMessage {}

    /**
     * A service's document.
     *
     * @param service the service
     * @param version the platform's version number
     * @param text the complete text
     */
    record ConfigurationDocument(ServiceName service, long version, String text) implements PeerMessage {}

    /**
     * A change from one version of a service's document to a later one.
     *
     * @param service the service
     * @param baseVersion the version that the change applies to
     * @param version the resulting version
     * @param edits the replaced line ranges, in ascending order
     * @param checksum the CRC-32C of the resulting text in UTF-8
     */
    record ConfigurationChange(ServiceName service, long baseVersion, long version, List<LineEdit> edits, int checksum)
            implements PeerMessage {

        public ConfigurationChange {
            edits = List.copyOf(edits);
        }
    }

    /**
     * A replaced range of lines.
     *
     * @param fromLine the first line replaced, from 0, in the base text
     * @param removedLines the number of removed lines
     * @param addedLines the added lines
     */
    record LineEdit(int fromLine, int removedLines, List<String> addedLines) {

        public LineEdit {
            addedLines = List.copyOf(addedLines);
        }
    }

    /**
     * The load of a node.
     *
     * @param inFlight the requests in flight at the local copy
     * @param limit the adaptive concurrency limit
     * @param queued the number of queued requests
     * @param cut the lowest priority level that the node admits
     * @param pace how the copy's own limit of requests per second is used; empty if none is known
     * @param unheard whether the copy has not answered the node's present process, so that it may have a limit that is
     *     not known there
     * @param runSeconds the usual time for which a request occupies a slot, its calls included; 0 if unknown
     */
    record LoadReport(
            int inFlight, int limit, int queued, int cut, Optional<CopyPace> pace, boolean unheard, float runSeconds) {

        /**
         * Creates the load of a node whose copy names no limit of requests per second.
         *
         * @param inFlight the requests in flight at the local copy
         * @param limit the adaptive concurrency limit
         * @param queued the number of queued requests
         * @param cut the lowest priority level that the node admits
         */
        public LoadReport(int inFlight, int limit, int queued, int cut) {
            this(inFlight, limit, queued, cut, Optional.empty(), false, 0);
        }
    }

    /**
     * The use of a copy that limits how many requests it takes per second.
     *
     * @param limitPerSecond the limit that the copy names
     * @param askedPerSecond the requests for the copy that recently arrived at its node
     * @param slots the slots that requests at this limit occupy
     */
    record CopyPace(float limitPerSecond, float askedPerSecond, float slots) {}

    /**
     * The admission cut of a service, which its callers apply.
     *
     * @param service the service
     * @param level the lowest priority level that the service may admit; 0 for all
     */
    record ServiceCut(ServiceName service, int level) {}

    /**
     * A request for the copy beside the receiver, which the sender has chosen.
     *
     * @param attempt this attempt, echoed in the answer
     * @param requestName the client's name for the request, which the copy echoes
     * @param service the copy's service
     * @param copy the only copy that may run it
     * @param callerService the service of the node at which the request entered
     * @param organisation the organisation whose key the request carried; empty if it carried none
     * @param rootRoute the route of the root request, on whose behalf this one is made
     * @param rank the place in the order of refusal; rank 0 is refused last
     * @param idempotent whether the request may run more than once
     * @param depth the number of calls between the root request and this one; 0 for the root request
     * @param rootAgeNanos the time since the root request arrived
     * @param remainingNanos time left until the deadline
     * @param lastChoice whether the sender knows no other copy that could take the request instead
     * @param knownLimit the limit of requests per second that the copy named, as far as the sender knows
     * @param route the route of this request
     * @param caller the node at which the root request entered
     * @param bodyFollows whether the body is sent in an {@link AttemptBody} once a {@link PlaceGranted} has replied
     * @param content the request, without its body if that follows
     */
    record CopyRequest(
            AttemptIdentifier attempt,
            String requestName,
            ServiceName service,
            CopyName copy,
            ServiceName callerService,
            Optional<OrganisationName> organisation,
            String rootRoute,
            int rank,
            boolean idempotent,
            int depth,
            long rootAgeNanos,
            long remainingNanos,
            boolean lastChoice,
            OptionalDouble knownLimit,
            String route,
            NodeName caller,
            boolean bodyFollows,
            RequestContent content)
            implements PeerMessage {}

    /**
     * Replies to a {@link CopyRequest} whose body follows: the attempt holds a slot of the sender's copy until its body
     * arrives or its time is over.
     *
     * @param attempt the attempt
     */
    record PlaceGranted(AttemptIdentifier attempt) implements PeerMessage {}

    /**
     * The body of an attempt whose place was granted.
     *
     * @param attempt the attempt
     * @param body the whole body
     */
    record AttemptBody(AttemptIdentifier attempt, Body body) implements PeerMessage {}

    /**
     * A node's report of its own state. A node sends it at short intervals to the aggregators of its availability zone,
     * and to other nodes after connecting, on request, and when it leaves.
     *
     * @param sequence the report's number, which rises by one with each report of the sender's process
     * @param published the sender's known state of the published entries
     * @param readsPlatform whether the sender could read the platform for others: none of its reads failed recently
     * @param leaving whether the sender accepts no new work
     * @param takesWithdrawals whether the sender answers {@link WithdrawAttempt}, as older nodes do not
     * @param service the service of the sender's copy
     * @param load the load of the sender's copy
     * @param workSeconds how long the sender's copy recently worked on a request, without its calls; 0 if unknown
     * @param sameZone whether the receiver is in the sender's availability zone, as far as the sender knows
     * @param summed whether the receiver is to aggregate the report and to send the sender a summary of the fleet
     * @param demands the demand of callers at the sender, by route; empty except for the one receiver that adds them up
     * @param costs the cost of a request of each route at each service, as measured by the sender; empty like demands
     * @param uses the recent use of allowances by organisations at the sender
     */
    record NodeReport(
            long sequence,
            PublishedState published,
            boolean readsPlatform,
            boolean leaving,
            boolean takesWithdrawals,
            ServiceName service,
            LoadReport load,
            float workSeconds,
            boolean sameZone,
            boolean summed,
            List<RouteDemand> demands,
            List<RouteCost> costs,
            List<OrganisationUse> uses)
            implements PeerMessage {

        public NodeReport {
            demands = List.copyOf(demands);
            costs = List.copyOf(costs);
            uses = List.copyOf(uses);
        }

        /**
         * Returns the report without demands, costs and uses, for a receiver that does not aggregate it.
         *
         * @param inSameZone whether the receiver is in the sender's availability zone
         * @return the shorter report
         */
        public NodeReport withoutDemands(boolean inSameZone) {
            return with(inSameZone, false, List.of(), List.of(), List.of());
        }

        /**
         * Returns the report for an aggregator of the sender's availability zone.
         *
         * @param withDemands whether the receiver adds up demands, costs and uses; otherwise they are left out
         * @return the report
         */
        public NodeReport forAggregator(boolean withDemands) {
            return withDemands
                    ? with(true, true, demands, costs, uses)
                    : with(true, true, List.of(), List.of(), List.of());
        }

        private NodeReport with(
                boolean inSameZone,
                boolean isSummed,
                List<RouteDemand> otherDemands,
                List<RouteCost> otherCosts,
                List<OrganisationUse> otherUses) {
            return new NodeReport(
                    sequence,
                    published,
                    readsPlatform,
                    leaving,
                    takesWithdrawals,
                    service,
                    load,
                    workSeconds,
                    inSameZone,
                    isSummed,
                    otherDemands,
                    otherCosts,
                    otherUses);
        }
    }

    /** Requests an immediate report. If none arrives, the connection or the receiver has failed. */
    record ReportWanted() implements PeerMessage {}

    /**
     * The summary that an aggregator sends to other aggregators: the state of the nodes that report to it.
     *
     * @param summary the state of these nodes
     */
    record GroupSummary(StateSummary summary) implements PeerMessage {}

    /**
     * The summary that an aggregator sends to the nodes that report to it: the state of the whole fleet.
     *
     * @param summary the state of the fleet
     */
    record FleetSummary(StateSummary summary) implements PeerMessage {}

    /**
     * The demand for one route at one node by callers of organisations of one rank.
     *
     * @param route the route's name
     * @param organisationRank the rank of the organisations
     * @param offeredPerSecond the requests received per second
     * @param completedPerSecond the requests per second that a copy answered
     */
    record RouteDemand(String route, int organisationRank, float offeredPerSecond, float completedPerSecond) {}

    /**
     * The cost of one request of a route at one service.
     *
     * @param route the route's name
     * @param service the service
     * @param slotSeconds the time for which it occupies slots there, including all calls that it causes
     */
    record RouteCost(String route, ServiceName service, float slotSeconds) {}

    /**
     * The answer to a {@link CopyRequest}.
     *
     * @param attempt the attempt answered
     * @param outcome its outcome
     * @param load the load of the answering node's copy
     * @param times the slot time that it took at this service and at the services it called
     * @param copyLeaves whether the copy that was asked has stated that it leaves
     */
    record CopyAnswer(
            AttemptIdentifier attempt, Outcome outcome, LoadReport load, List<SlotTime> times, boolean copyLeaves)
            implements PeerMessage {

        public CopyAnswer {
            times = List.copyOf(times);
        }
    }

    /**
     * The time for which slots of a service were occupied.
     *
     * @param service the service
     * @param seconds the time
     */
    record SlotTime(ServiceName service, float seconds) {}

    /**
     * The sender's known state of requests during which copies crashed.
     *
     * @param service the service of these copies
     * @param suspicions the known state of each request
     */
    record Suspicions(ServiceName service, List<Suspicion> suspicions) implements PeerMessage {

        public Suspicions {
            suspicions = List.copyOf(suspicions);
        }
    }

    /**
     * Requests the published entries that changed the receiver's known state.
     *
     * @param since the starting point
     */
    record EntriesWanted(ChangesSince since) implements PeerMessage {}

    /**
     * The answer to {@link EntriesWanted}.
     *
     * @param position the sender's position up to which the receiver then knows all its changes; 0 if not stated
     * @param upTo the platform's revision up to which the sender knows all changes
     * @param complete whether these are all existing entries, because the sender no longer knows what was removed since
     * @param entries the entries, including removed ones as long as the sender keeps them
     */
    record Entries(long position, Revision upTo, boolean complete, List<KnownEntry> entries) implements PeerMessage {

        public Entries {
            entries = List.copyOf(entries);
        }
    }
}
