package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.LeavingSign;
import org.carawaysill.model.request.NoticeCount;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.ShareBound;
import org.carawaysill.policy.fleet.copy.SlotDivision;
import org.carawaysill.policy.fleet.publication.Eras;
import org.carawaysill.policy.time.Nanos;

/**
 * A decision that affected a request or changed the node's known state, with the inputs that led to it.
 *
 * <p>Invariant: {@link #fields} returns {@code key=value} pairs on one line; the log that writes them quotes values
 * from outside. Immutable and thread safe.
 */
public sealed interface Decision {

    /**
     * Returns the inputs and the outcome.
     *
     * @return pairs of key and value, separated by spaces
     */
    String fields();

    /**
     * Returns the request or the part of the node's known state that the decision is about.
     *
     * @return the name
     */
    String subject();

    /** A decision about one request. Immutable and thread safe. */
    sealed interface OfRequest extends Decision {}

    /** A change of the node's known state. Immutable and thread safe. */
    sealed interface OfState extends Decision {}

    /**
     * An attempt was sent to a copy.
     *
     * @param subject the request
     * @param route its route
     * @param rootRoute the route of the caller's request that caused it
     * @param depth the number of calls between the caller's request and this one
     * @param copy the copy chosen
     * @param peer the node of that copy
     * @param attempt the number of the attempt, from 1
     * @param expectedLoad the number of requests that this node expects at the copy, divided by the copy's limit
     * @param version the configuration version
     */
    record Sent(
            String subject,
            String route,
            String rootRoute,
            int depth,
            CopyName copy,
            NodeName peer,
            int attempt,
            double expectedLoad,
            long version)
            implements OfRequest {

        @Override
        public String fields() {
            return "route=" + route + " root=" + rootRoute + " depth=" + depth + " copy=" + copy + " peer=" + peer
                    + " attempt=" + attempt + " load=" + Math.round(expectedLoad * 100) / 100.0 + " version="
                    + version;
        }
    }

    /**
     * A request got its final answer.
     *
     * @param subject the request
     * @param route its route, or - if none matched
     * @param outcome the answer
     * @param attempts the number of attempts made
     * @param tookNanos the time since it arrived
     * @param share the admitted share of its route
     * @param version the configuration version
     */
    record Answered(
            String subject, String route, Outcome outcome, int attempts, long tookNanos, double share, long version)
            implements OfRequest {

        @Override
        public String fields() {
            return "route=" + route + " " + describe(outcome) + " attempts=" + attempts + " took_ms="
                    + Nanos.toMillis(tookNanos) + " share=" + Math.round(share * 100) / 100.0
                    + " version=" + version;
        }
    }

    /**
     * An attempt failed and another one follows.
     *
     * @param subject the request
     * @param outcome the outcome of the attempt
     * @param copy the copy that it was sent to
     * @param attempt the number of the attempt, from 1
     */
    record Retried(String subject, Outcome outcome, CopyName copy, int attempt) implements OfRequest {

        @Override
        public String fields() {
            return describe(outcome) + " copy=" + copy + " attempt=" + attempt;
        }
    }

    /**
     * An attempt that can't be repeated waits because the connection to the other node ended, or stopped waiting.
     *
     * @param subject the request
     * @param peer the other node
     * @param state waits; at_work if the other node still has it; answered, not_run, or lost if it may have run
     * @param waitedNanos the time since the end of the connection
     */
    record LinkWait(String subject, NodeName peer, String state, long waitedNanos) implements OfRequest {

        @Override
        public String fields() {
            return "peer=" + peer + " state=" + state + " waited_ms=" + Nanos.toMillis(waitedNanos);
        }
    }

    /**
     * A request for the local copy got no answer from it.
     *
     * @param subject the request
     * @param copy the copy that it was sent to
     * @param outcome its outcome
     * @param waitedNanos the time in the queue and at the copy
     * @param inFlight requests in flight at the copy
     * @param queued requests waiting for the copy
     * @param limit the limit of requests in flight
     */
    record FailedAtCopy(
            String subject, CopyName copy, Outcome outcome, long waitedNanos, int inFlight, int queued, int limit)
            implements OfRequest {

        @Override
        public String fields() {
            return "copy=" + copy + " " + describe(outcome) + " waited_ms="
                    + Nanos.toMillis(waitedNanos) + " in_flight=" + inFlight + " queued=" + queued
                    + " limit=" + limit;
        }
    }

    /**
     * A client disconnected before its answer.
     *
     * @param subject the request
     * @param attempts the number of attempts made
     * @param tookNanos the time since it arrived
     */
    record Abandoned(String subject, int attempts, long tookNanos) implements OfRequest {

        @Override
        public String fields() {
            return "attempts=" + attempts + " took_ms=" + Nanos.toMillis(tookNanos);
        }
    }

    private static String origin(Revision revision, String learnedFrom) {
        return "revision=" + revision.number() + " era=" + revision.era() + " from=" + learnedFrom;
    }

    /**
     * A configuration version came into force.
     *
     * @param version the version
     * @param replaced the previous version
     * @param routes the number of its routes
     * @param revision the platform's revision of it
     * @param learnedFrom the platform, or the node that sent it
     */
    record ConfigurationAdopted(long version, long replaced, int routes, Revision revision, String learnedFrom)
            implements OfState {

        @Override
        public String subject() {
            return "configuration";
        }

        @Override
        public String fields() {
            return "version=" + version + " replaced=" + replaced + " routes=" + routes + " "
                    + origin(revision, learnedFrom);
        }
    }

    /**
     * The platform was restored from an older state, or its era can no longer be read.
     *
     * @param change how the era changed
     * @param asOf the revision up to which this node now knows all changes
     * @param asOfBefore the revision up to which it knew all changes before
     * @param known the number of known entries that were written after the restored state
     * @param version the configuration in force, which may be newer than the published one
     */
    record EraChanged(Eras.Change change, Revision asOf, Revision asOfBefore, int known, long version)
            implements OfState {

        @Override
        public String subject() {
            return "platform";
        }

        @Override
        public String fields() {
            return "change=" + change + " era=" + asOf.era() + " as_of=" + asOf.number() + " era_before="
                    + asOfBefore.era() + " as_of_before=" + asOfBefore.number() + " known_beyond=" + known
                    + " version=" + version;
        }
    }

    /**
     * A published entry is ignored because it can't be read.
     *
     * @param subject the entry's key
     * @param revision the platform's revision of it
     * @param fault the fault and its position
     */
    record EntryRefused(String subject, Revision revision, String fault) implements OfState {

        @Override
        public String fields() {
            return "revision=" + revision.number() + " era=" + revision.era() + " fault=" + fault;
        }
    }

    /**
     * A copy was added, changed, or is no longer used.
     *
     * @param copy the copy
     * @param service its service
     * @param address the address at which it listens
     * @param state its known state
     * @param revision the platform's revision of that state
     * @param learnedFrom the platform, or the node that sent it
     */
    record CopyChanged(
            CopyName copy, ServiceName service, String address, String state, Revision revision, String learnedFrom)
            implements OfState {

        /** The state of a copy that may get work. */
        public static final String READY = "ready";

        @Override
        public String subject() {
            return copy.value();
        }

        @Override
        public String fields() {
            return "service=" + service + " address=" + address + " state=" + state + " "
                    + origin(revision, learnedFrom);
        }
    }

    /**
     * The local copy's process ended without a planned stop while requests were running.
     *
     * @param copy the copy
     * @param startedAtMillis the start of that process in milliseconds since 1970; 0 if the copy did not state it
     * @param running the number of requests running at it
     * @param requests their fingerprints
     */
    record CopyCrashed(CopyName copy, long startedAtMillis, int running, List<Fingerprint> requests)
            implements OfState {

        /** Limits the line to three kilobytes; only on large sites does a copy have more slots than this. */
        private static final int MOST_LISTED = 100;

        public CopyCrashed {
            requests = List.copyOf(requests);
        }

        @Override
        public String subject() {
            return copy.value();
        }

        @Override
        public String fields() {
            return "started=" + startedAtMillis + " running=" + running + " fingerprints="
                    + requests.stream()
                            .limit(MOST_LISTED)
                            .map(Fingerprint::toString)
                            .collect(Collectors.joining(","));
        }
    }

    /**
     * The known state of a request during which copies crashed has changed.
     *
     * @param fingerprint the request
     * @param state its known state
     * @param crashes the number of copies that crashed while they ran it
     * @param remainingNanos how much longer it is refused, or 0 if it is not refused
     * @param why the evidence for the state
     */
    record SuspicionChanged(Fingerprint fingerprint, String state, int crashes, long remainingNanos, String why)
            implements OfState {

        @Override
        public String subject() {
            return fingerprint.toString();
        }

        @Override
        public String fields() {
            return "state=" + state + " crashes=" + crashes + " refused_for_ms=" + Nanos.toMillis(remainingNanos)
                    + " why=" + why;
        }
    }

    /**
     * Suspected requests that did not recur were forgotten.
     *
     * @param forgotten the number of requests forgotten
     * @param left the number of requests still suspected or refused
     */
    record SuspicionsForgotten(int forgotten, int left) implements OfState {

        @Override
        public String subject() {
            return "suspicions";
        }

        @Override
        public String fields() {
            return "forgotten=" + forgotten + " left=" + left;
        }
    }

    /**
     * A request was refused or redirected because copies crashed while they ran it.
     *
     * @param subject the request
     * @param fingerprint the fingerprint that all its attempts share
     * @param state its known state
     * @param crashes the number of copies that crashed while they ran it
     * @param place the node of the copy at which it may run, or - if it may run nowhere
     */
    record SuspectHandled(String subject, Fingerprint fingerprint, String state, int crashes, String place)
            implements OfRequest {

        @Override
        public String fields() {
            return "fingerprint=" + fingerprint + " state=" + state + " crashes=" + crashes + " place=" + place;
        }
    }

    /**
     * A dependency of the node was lost or is back.
     *
     * @param subject the dependency: the platform, or another node
     * @param state its known state
     * @param detail the reason, with ages
     */
    record DependencyChanged(String subject, String state, String detail) implements OfState {

        @Override
        public String fields() {
            return "state=" + state + " " + detail;
        }
    }

    /**
     * The admitted share of a route's requests changed considerably.
     *
     * @param subject the route
     * @param organisationRank the rank of the requesting organisations
     * @param share the new share
     * @param bound what bounds it
     * @param offered requests a second in the whole fleet
     * @param reports the number of nodes whose reports it is based on
     */
    record ShareChanged(
            String subject, int organisationRank, double share, ShareBound bound, double offered, int reports)
            implements OfState {

        @Override
        public String fields() {
            return "organisation_rank=" + organisationRank + " share=" + Math.round(share * 100) / 100.0 + " bound="
                    + bound.labelValue() + " offered_per_second=" + Math.round(offered) + " reports=" + reports;
        }
    }

    /**
     * The limit of requests in flight at the local copy changed.
     *
     * @param limit the new limit
     * @param inFlight requests in flight
     * @param queued requests waiting
     */
    record LimitChanged(int limit, int inFlight, int queued) implements OfState {

        @Override
        public String subject() {
            return "gate";
        }

        @Override
        public String fields() {
            return "limit=" + limit + " in_flight=" + inFlight + " queued=" + queued;
        }
    }

    /**
     * The division of the local copy's slots between short and long work changed.
     *
     * @param division the new division
     */
    record SlotsDivided(SlotDivision division) implements OfState {

        @Override
        public String subject() {
            return "gate";
        }

        @Override
        public String fields() {
            return "slots=" + division.slots() + " long_guaranteed=" + division.guaranteedLong() + " long_most="
                    + division.mostLong() + " short_in_flight=" + division.shortRunning() + " long_in_flight="
                    + division.longRunning() + " short_queued=" + division.shortQueued() + " long_queued="
                    + division.longQueued();
        }
    }

    /**
     * The local copy's answers state something else about it than before.
     *
     * @param copy the copy
     * @param change what changed
     * @param from the copy, or the node that relayed it
     * @param limit the limit of requests per second that it names now, or - if it names none
     * @param before the limit that was known before, or -
     * @param ageNanos how long the limit before was known
     * @param inFlight requests in flight at the copy
     * @param queued requests waiting for it
     */
    record CopyNoticed(
            CopyName copy,
            NoticeCount change,
            String from,
            String limit,
            String before,
            long ageNanos,
            int inFlight,
            int queued)
            implements OfState {

        @Override
        public String subject() {
            return copy.value();
        }

        @Override
        public String fields() {
            return "change=" + change + " from=" + from + " limit=" + limit + " before=" + before + " age_ms="
                    + Nanos.toMillis(ageNanos) + " in_flight=" + inFlight + " queued=" + queued;
        }
    }

    /**
     * The local copy takes no new requests from now on, or takes them again.
     *
     * @param copy the copy
     * @param sign what shows that it leaves; empty if it takes requests again
     * @param queued the requests that waited for it, which are refused if it leaves
     * @param inFlight requests in flight at the copy
     */
    record LocalCopyChanged(CopyName copy, Optional<LeavingSign> sign, int queued, int inFlight) implements OfState {

        @Override
        public String subject() {
            return copy.value();
        }

        @Override
        public String fields() {
            return "sign=" + sign.map(LeavingSign::name).orElse("NONE") + " queued=" + queued + " in_flight="
                    + inFlight;
        }
    }

    /**
     * A copy's success share fell below or rose above the threshold under which it gets hardly any requests.
     *
     * @param copy the copy
     * @param success the share of this node's recent requests that succeeded at it
     */
    record CopyJudged(CopyName copy, double success) implements OfState {

        @Override
        public String subject() {
            return copy.value();
        }

        @Override
        public String fields() {
            return "success=" + Math.round(success * 100) / 100.0;
        }
    }

    /**
     * A copy turned out to be much slower or faster than the usual one of its service, or no longer.
     *
     * @param copy the copy
     * @param slowness its time as a multiple of the usual one, as this node estimates it
     */
    record CopyPaced(CopyName copy, double slowness) implements OfState {

        @Override
        public String subject() {
            return copy.value();
        }

        @Override
        public String fields() {
            return "slowness=" + Math.round(slowness * 100) / 100.0;
        }
    }

    /**
     * The node starts or stops accepting clients, or is stopping.
     *
     * @param state the new state
     * @param detail the reason
     */
    record NodeChanged(String state, String detail) implements OfState {

        @Override
        public String subject() {
            return "node";
        }

        @Override
        public String fields() {
            return "state=" + state + " " + detail;
        }
    }

    /**
     * A slot of the local copy was given up because the body of its request did not arrive.
     *
     * @param subject the request
     * @param sender the node that was to send the body
     * @param reason why it was given up
     * @param heldNanos the time since the body was asked for
     */
    record PlaceEnded(String subject, NodeName sender, RefusalReason reason, long heldNanos) implements OfRequest {

        @Override
        public String fields() {
            return "sender=" + sender + " reason=" + reason.labelValue() + " held_ms=" + Nanos.toMillis(heldNanos);
        }
    }

    private static String describe(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered ->
                "outcome=answered status=" + answered.content().status();
            case Outcome.NotRun notRun ->
                "outcome=not_run reason=" + notRun.reason().labelValue() + " step=" + notRun.step() + " retry_after_ms="
                        + notRun.retryAfter().toMillis();
            case Outcome.Unknown unknown ->
                "outcome=unknown reason=" + unknown.reason().labelValue() + " step=" + unknown.step();
        };
    }
}
