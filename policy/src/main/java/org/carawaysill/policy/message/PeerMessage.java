package org.carawaysill.policy.message;

import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RequestContent;

/**
 * What nodes say to each other. Times travel as remaining durations, since nodes share no monotonic clock. Immutable and
 * thread safe.
 */
public sealed interface PeerMessage {

    /**
     * A request to be handed to the receiver's local copy, or to be passed on by the receiver as its holder.
     *
     * @param attempt this attempt, echoed in the answer
     * @param request the caller's request over all its attempts
     * @param service the receiver's service
     * @param operation the operation's name as the sender classified it
     * @param caller who asked at the entry
     * @param priority the place in the order of refusal, set at the entry
     * @param idempotent whether running it twice does no harm
     * @param key the idempotency key, if there is one
     * @param retryCredits retries that the receiver may spend on it and below; what is not spent comes back
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

    /** What the receiver of a request is asked to do. */
    enum Purpose {
        /** Hand it to the local copy. */
        RUN,
        /** Decide as its holder: run it here or at another copy, at most once. */
        HOLD
    }

    /**
     * The answer to a {@link PeerRequest}.
     *
     * @param attempt the attempt answered
     * @param outcome what it came to
     * @param unspentCredits retry credits that come back
     * @param load the answering node's load
     * @param cuts the admission cut of each service at and below the answering node
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

    /** The sender is leaving: send it no new work. */
    record DrainNotice() implements PeerMessage {}

    /**
     * The sender lives.
     *
     * @param sequence rises by one with each heartbeat of this process
     * @param load the sender's load
     * @param versions the configuration versions that the sender has in force
     */
    record Heartbeat(long sequence, LoadReport load, Map<ServiceName, Long> versions) implements PeerMessage {

        public Heartbeat {
            versions = Map.copyOf(versions);
        }
    }

    /**
     * One node of a roster; a VM replaced under the same name at another address is another member.
     *
     * @param node the node's name
     * @param host the IP number of its VM
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
     * @param service the service whose roster it concerns
     * @param requester the sender as its settings describe it
     * @param incarnation the start time of the sender's process in milliseconds since 1970
     * @param wallMillis the sender's wall clock at sending, since 1970
     * @param sequence echoed in the reply
     * @param durationNanos the length asked for, counted by the sender from before it sent this; zero gives the lease back
     * @param rosterVersion the version of the roster under which the sender would act
     * @param rosterDigest the digest of that roster's members
     * @param previousDigest the digest of the members under which the sender acted before, 0 for none
     * @param closedBelow rosters of lower versions can give no lease any more
     * @param closedForNanos for how long that has been so
     * @param rosters the rosters that the receiver may not know; empty in steady state
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

    /** What a granter decided. */
    enum LeaseVerdict {
        /** The sender may act for all work that the roster asked for gives it. */
        GRANTED,
        /** The sender may act for the work that both the roster asked for and its previous one give it. */
        GRANTED_FOR_UNMOVED,
        /** No lease now: another one is in force, a newer roster is known, or the granter just started. */
        REFUSED,
        /** No lease until the granter has been told the members of the roster. */
        UNKNOWN_ROSTER,
        /** No lease while the wall clocks of the sender and of the granter are too far apart. */
        CLOCKS_APART
    }

    /**
     * The reply to a {@link LeaseRequest}.
     *
     * @param service the service
     * @param granter the sender as its settings describe it
     * @param sequence the request's sequence
     * @param verdict what was decided
     * @param recovering whether the sender may have forgotten promises that it made before a restart
     * @param freeNanos for how long the sender has had no lease in force that excludes a full grant
     * @param freeForUnmovedNanos for how long it has had none that excludes a grant for unmoved work
     * @param highestVersion the highest roster version that the sender knows of
     * @param closedBelow rosters of lower versions can give no lease any more
     * @param closedForNanos for how long that has been so
     * @param rosters the rosters that the receiver may not know; empty in steady state
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
     * The sender leaves and hands over what it knows of work that must run at most once.
     *
     * @param service the service
     * @param rosterDigest the digest of the members under which the sender acted
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
     * One known request of a {@link HolderHandover}.
     *
     * @param request the request
     * @param mintedMillis when its identifier was minted, if it says so, wall clock since 1970
     * @param contentHash a hash of its content, by which a reused identifier is found
     * @param outcome what it came to; empty while it may still be running
     */
    record HolderEntry(
            RequestIdentifier request, OptionalLong mintedMillis, int contentHash, Optional<Outcome> outcome) {}

    /**
     * Asks for a service's document if the receiver has a newer one.
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
     * @param text the whole text
     */
    record ConfigurationDocument(ServiceName service, long version, String text) implements PeerMessage {}

    /**
     * A change from one version of a service's document to a later one.
     *
     * @param service the service
     * @param baseVersion the version that the change applies to
     * @param version the version that it leads to
     * @param edits the replaced line ranges, in rising order
     * @param checksum the CRC-32C of the resulting text in UTF-8
     */
    record ConfigurationChange(ServiceName service, long baseVersion, long version, List<LineEdit> edits, int checksum)
            implements PeerMessage {

        public ConfigurationChange {
            edits = List.copyOf(edits);
        }
    }

    /**
     * One replaced range of lines.
     *
     * @param fromLine the first line replaced, from 0, in the base text
     * @param removedLines how many lines go
     * @param addedLines the lines that come
     */
    record LineEdit(int fromLine, int removedLines, List<String> addedLines) {

        public LineEdit {
            addedLines = List.copyOf(addedLines);
        }
    }

    /**
     * A node's load.
     *
     * @param inFlight requests at the local copy
     * @param limit the learned concurrency limit
     * @param queued requests waiting
     * @param cut the lowest priority level that the node admits
     */
    record LoadReport(int inFlight, int limit, int queued, int cut) {}

    /**
     * The admission cut of a service as its callers should apply it.
     *
     * @param service the service
     * @param level the lowest priority level that has a chance there, 0 for all
     */
    record ServiceCut(ServiceName service, int level) {}

    /**
     * A request for the copy beside the receiver, which the sender chose.
     *
     * @param attempt this attempt, echoed in the answer
     * @param requestName the client's own name for the request, which the copy echoes
     * @param service the copy's service
     * @param copy the copy that may run it, and no other
     * @param callerService the service beside which the request began
     * @param organisation the organisation whose key the request carried; empty where it carried none
     * @param rootRoute the route of the caller's request for whose sake this one is made
     * @param rank the place in the order of refusal, 0 last
     * @param idempotent whether running it twice does no harm
     * @param depth calls between the caller's request and this one, 0 for the caller's own
     * @param rootAgeNanos time since the caller's request arrived behind which this one is made
     * @param remainingNanos time left until the deadline
     * @param content the request
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
            RequestContent content)
            implements PeerMessage {}

    /**
     * What a node says of itself: at short intervals to those that sum up for its availability zone, to others when the two
     * have just connected, when it is asked, and when it leaves.
     *
     * @param sequence rises by one with each report of this process
     * @param published what the sender decides by of all that is published
     * @param readsPlatform whether the sender could read the platform for others: no read of it failed lately
     * @param leaving whether the sender takes no new work
     * @param service the service of the sender's copy
     * @param load the load of the sender's copy
     * @param workSeconds what the sender's copy lately took for a request, without its calls; 0 where that is not known
     * @param sameZone whether the receiver stands in the sender's availability zone, as far as the sender knows
     * @param summed whether the receiver is to sum it up with others, and to tell the sender what it knows of the fleet
     * @param demands what callers ask of the sender, by route; empty but for the one receiver that adds them up
     * @param costs what a request of each route costs at each service, as the sender has seen; empty as the demands
     * @param uses what organisations lately used of their allowances here
     */
    record NodeReport(
            long sequence,
            PublishedState published,
            boolean readsPlatform,
            boolean leaving,
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
         * Leaves out demands, costs and uses, for a receiver that does not sum it up.
         *
         * @param inSameZone whether the receiver stands in the sender's availability zone
         * @return the shorter report
         */
        public NodeReport toBeKnown(boolean inSameZone) {
            return with(inSameZone, false, List.of(), List.of(), List.of());
        }

        /**
         * Asks a receiver of the sender's availability zone to sum it up with others.
         *
         * @param whole whether the receiver adds up demands, costs and uses; else they are left out
         * @return the report
         */
        public NodeReport toBeSummed(boolean whole) {
            return whole ? with(true, true, demands, costs, uses) : with(true, true, List.of(), List.of(), List.of());
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

    /** Asks for a report at once; without an answer, the connection or the receiver is gone. */
    record ReportWanted() implements PeerMessage {}

    /**
     * What a node that sums up tells the others that do: the state of the nodes that report to it.
     *
     * @param summary their state
     */
    record GroupSummary(StateSummary summary) implements PeerMessage {}

    /**
     * What a node that sums up tells those that report to it: the state of the whole fleet.
     *
     * @param summary its state
     */
    record FleetSummary(StateSummary summary) implements PeerMessage {}

    /**
     * What callers of organisations of one rank ask of one route at one node.
     *
     * @param route the route's name
     * @param organisationRank the rank of the organisations
     * @param offeredPerSecond requests that came
     * @param completedPerSecond requests that were answered by a copy
     */
    record RouteDemand(String route, int organisationRank, float offeredPerSecond, float completedPerSecond) {}

    /**
     * What one request of a route costs at one service.
     *
     * @param route the route's name
     * @param service the service
     * @param slotSeconds the time for which it keeps slots busy there, all calls that it causes included
     */
    record RouteCost(String route, ServiceName service, float slotSeconds) {}

    /**
     * The answer to a {@link CopyRequest}.
     *
     * @param attempt the attempt answered
     * @param outcome what it came to
     * @param load the load of the answering node's copy
     * @param times the slots' time that it took, here and at deeper services
     */
    record CopyAnswer(AttemptIdentifier attempt, Outcome outcome, LoadReport load, List<SlotTime> times)
            implements PeerMessage {

        public CopyAnswer {
            times = List.copyOf(times);
        }
    }

    /**
     * Time for which slots of a service were busy.
     *
     * @param service the service
     * @param seconds the time
     */
    record SlotTime(ServiceName service, float seconds) {}

    /**
     * What the sender knows of requests under which copies crashed.
     *
     * @param service the service of these copies
     * @param suspicions what is known of each request
     */
    record Suspicions(ServiceName service, List<Suspicion> suspicions) implements PeerMessage {

        public Suspicions {
            suspicions = List.copyOf(suspicions);
        }
    }

    /**
     * Asks for the published entries that changed what the receiver decides by.
     *
     * @param since from where on
     */
    record EntriesWanted(ChangesSince since) implements PeerMessage {}

    /**
     * The answer to {@link EntriesWanted}.
     *
     * @param position with these, the receiver knows all changes of the sender up to this one; 0 where that isn't said
     * @param upTo up to which of the platform's revisions the sender knows all changes
     * @param complete whether these are all entries that there are: the sender no longer knows what was removed since
     * @param entries the entries, removed ones included as long as they are remembered
     */
    record Entries(long position, Revision upTo, boolean complete, List<KnownEntry> entries) implements PeerMessage {

        public Entries {
            entries = List.copyOf(entries);
        }
    }
}
