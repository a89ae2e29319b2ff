package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.Readers;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.time.Moment;

/**
 * All decisions of one node in a fleet whose routes are common to all nodes and whose copies are published.
 *
 * <p>Without input, output, threads, clock or hidden randomness. Invariant: the same events at the same moments give the
 * same effects, for the same seed. Not thread safe: one thread owns it.
 */
public final class FleetPolicy {

    /** How long a new node waits for connections to others before it takes clients with fewer of them. */
    private static final Duration SETTLING_LIMIT = Duration.ofSeconds(1);

    /** A process that was away for so long can't tell from silence that others are gone. */
    private static final Duration PAUSE = Duration.ofMillis(800);

    /**
     * For so long after its start a node tells details in each report. Where all nodes started anew, none knows what requests
     * cost, and each knows another part of it a moment later: told later, all are let in for longer, and fail.
     */
    private static final Duration LEARNING = Duration.ofSeconds(10);

    private static final double LOGGED_SHARE_CHANGE = 0.1;

    /**
     * For each so many nodes one more report is brief before the next whole one. All nodes tell all others, so that the
     * bytes of demands and costs, which are most of a report, grow with the square of the fleet: half of all bytes between
     * availability zones on a quiet day with 16 nodes or a heavy one with 81. With 16 nodes, where every other report is
     * whole, the same share of requests is served in virtual time, within 0.004; where one in four is, within 0.006.
     */
    private static final int NODES_FOR_A_BRIEF_REPORT = 20;

    private static final int FEWEST_REPORTS_FOR_DETAILS = 2;

    /** Details older than this many reports, 3.2 s, would follow no burst. */
    private static final int MOST_REPORTS_FOR_DETAILS = 8;

    private FleetSettings settings;
    private final Effects effects = new Effects();
    private final Beliefs beliefs;
    private final Peers peers;
    private final DemandMeter demand;
    private final EntryPlan plan;
    private final LocalRuns localRuns;
    private final OutgoingRequests outgoing;
    private final ServiceLoads loads;
    private final PlannedStop plannedStop;
    private final long startNanos;
    private final Map<String, Double> loggedShares = new HashMap<>();
    private long nextTickNanos;
    private long lastNanos;
    private long configuredNanos = Long.MAX_VALUE;
    private long sequence;
    private long askedRevision;
    private long toldRevision;
    private boolean ready;

    /**
     * Creates the policy of a node that has just started.
     *
     * @param settings who the node is
     * @param decoder what understands published entries
     * @param random the source of identifiers and jitter
     * @param start the moment at which the process started
     */
    public FleetPolicy(FleetSettings settings, PublicationDecoder decoder, RandomGenerator random, Moment start) {
        this.settings = settings;
        long now = start.nanos();
        beliefs = new Beliefs(now, settings.drainLimit(), decoder, random, effects);
        peers = new Peers(settings.self(), effects);
        demand = new DemandMeter(now);
        plan = new EntryPlan(settings.without());
        localRuns = new LocalRuns(settings, effects);
        outgoing = new OutgoingRequests(
                new FleetParts(settings, effects, beliefs, peers, localRuns, demand, plan), random);
        loads = new ServiceLoads(settings, beliefs, peers, localRuns);
        plannedStop = new PlannedStop(effects, outgoing, localRuns);
        nextTickNanos = now;
        lastNanos = now;
        startNanos = now;
    }

    /**
     * Decides about an event.
     *
     * @param moment the moment, never earlier than the last one
     * @param event what happened
     * @return what to do, in this order
     */
    public List<FleetEffect> decide(Moment moment, FleetEvent event) {
        long now = moment.nanos();
        noticePause(now);
        switch (event) {
            case FleetEvent.RequestArrived arrival -> outgoing.arrived(now, arrival);
            case FleetEvent.ExchangeClosed closed -> outgoing.exchangeClosed(now, closed.exchange());
            case FleetEvent.CopyAnswered answered -> localRuns.answered(now, answered.attempt(), answered.outcome());
            case FleetEvent.PeerReceived received -> received(moment, received.from(), received.message());
            case FleetEvent.PeerConnected connected -> peerConnected(now, connected.peer());
            case FleetEvent.PeerLost lost -> {
                peers.lost(lost.peer());
                localRuns.senderLost(now, lost.peer());
                outgoing.peerLost(now, lost.peer());
            }
            case FleetEvent.PeerUnsent(NodeName _, PeerMessage.CopyRequest request) ->
                outgoing.unsent(now, request.attempt());
            case FleetEvent.PeerUnsent _, FleetEvent.WakeUp _ -> {}
            case FleetEvent.EntriesRead read -> {
                beliefs.read(now, read);
                publicationChanged(moment);
            }
            case FleetEvent.EntriesReadFailed failed -> readFailed(now, failed);
            case FleetEvent.SettingsChanged changed -> reload(changed.settings());
            case FleetEvent.StopOrdered _ -> plannedStop.order(now);
        }
        passTime(now);
        return effects.drain();
    }

    private void noticePause(long now) {
        if (now - lastNanos > PAUSE.toNanos()) {
            peers.paused(now);
        }
        lastNanos = now;
    }

    private void received(Moment moment, NodeName from, PeerMessage message) {
        long now = moment.nanos();
        peers.heard(now, from);
        switch (message) {
            case PeerMessage.CopyRequest request -> localRuns.accept(now, Optional.of(from), request);
            case PeerMessage.CopyAnswer answer -> outgoing.peerAnswered(now, from, answer);
            case PeerMessage.CancelAttempt cancel -> localRuns.cancelled(now, cancel.attempt());
            case PeerMessage.NodeReport report -> reported(now, from, report);
            case PeerMessage.EntriesWanted _ ->
                effects.add(new FleetEffect.SendToPeer(
                        from, new PeerMessage.Entries(beliefs.asOf(), beliefs.toldToOthers())));
            case PeerMessage.Entries entries -> {
                beliefs.told(now, entries.entries());
                publicationChanged(moment);
            }
            case PeerMessage.PeerRequest _,
                    PeerMessage.PeerAnswer _,
                    PeerMessage.DrainNotice _,
                    PeerMessage.Heartbeat _,
                    PeerMessage.LeaseRequest _,
                    PeerMessage.LeaseReply _,
                    PeerMessage.HolderHandover _,
                    PeerMessage.ConfigurationWanted _,
                    PeerMessage.ConfigurationDocument _,
                    PeerMessage.ConfigurationChange _ -> {
                // The messages of fleets without common routes mean nothing here.
            }
        }
    }

    private void reported(long now, NodeName from, NodeReport report) {
        peers.reported(now, from, report);
        for (Copy copy : beliefs.copies().all()) {
            if (copy.node().equals(from)) {
                copy.told(report.load());
                copy.works(report.workSeconds());
            }
        }
        askIfBehind(from, report.publishedRevision());
    }

    /** Asks at once whoever decides by something newer, so that a node that can't read the platform is not left behind. */
    private void askIfBehind(NodeName peer, long theirRevision) {
        if (theirRevision > Math.max(Math.max(beliefs.asOf(), beliefs.revision()), askedRevision)) {
            askedRevision = theirRevision;
            effects.add(new FleetEffect.SendToPeer(peer, new PeerMessage.EntriesWanted()));
        }
    }

    private void peerConnected(long now, NodeName peer) {
        peers.connected(now, peer);
        effects.add(new FleetEffect.SendToPeer(peer, report(now)));
        if (beliefs.configuration().isEmpty()) {
            effects.add(new FleetEffect.SendToPeer(peer, new PeerMessage.EntriesWanted()));
        }
    }

    private void readFailed(long now, FleetEvent.EntriesReadFailed failed) {
        beliefs.readFailed(now, failed.failure());
        // What is asked for again may now be told by another node, or by the same one anew.
        askedRevision = 0;
    }

    /** Tells all others at once: they ask for what is newer, and are not kept waiting for the next report. */
    private void tellRevision(long now) {
        if (beliefs.revision() > toldRevision) {
            toldRevision = beliefs.revision();
            tellAll(report(now));
        }
    }

    private void tellAll(NodeReport report) {
        peers.connected().forEach(peer -> effects.add(new FleetEffect.SendToPeer(peer, report)));
    }

    private void publicationChanged(Moment moment) {
        long now = moment.nanos();
        tellRevision(now);
        if (beliefs.configuration().isPresent() && configuredNanos == Long.MAX_VALUE) {
            configuredNanos = now;
        }
        peers.published(now, beliefs.copies().hosts());
        outgoing.nodes(peers.count());
        outgoing.routes(beliefs.routesByName().keySet());
        beliefs.copies().at(settings.copyAddress()).ifPresent(copy -> localRuns.published(moment, copy.record()));
    }

    /** Takes the bounds over; who the node is and where it listens can't change while it runs. */
    private void reload(FleetSettings newer) {
        settings = newer;
        outgoing.retries(newer.retries());
        effects.log(new Decision.NodeChanged(
                "reloaded",
                "stop_limit_ms=" + newer.stopLimit().toMillis() + " retry_ratio="
                        + newer.retries().ratio() + " retry_extra="
                        + newer.retries().extra()));
    }

    private void passTime(long now) {
        if (now >= nextTickNanos) {
            nextTickNanos = now + Peers.REPORT_INTERVAL.toNanos();
            tick(now);
        }
        if (now >= beliefs.dueNanos()) {
            beliefs.startRead(now);
        }
        localRuns.passTime(now);
        outgoing.passTime(now);
        showReadiness(now);
        if (plannedStop.isLeavingToBeTold(now)) {
            tellAll(report(now));
        }
        plannedStop.passTime(now, settings.stopLimit());
    }

    private void tick(long now) {
        beliefs.passTime(now);
        peers.passTime(now);
        beliefs.reader(now, isReader());
        localRuns.endOverdue(now);
        localRuns.logLimit(now);
        demand.close(now);
        NodeReport own = report(now);
        tellAll(isWholeReportDue(now) ? own : own.inBrief());
        List<NodeReport> reports = new ArrayList<>(peers.reports());
        reports.add(own);
        plan.update(reports, loads.sum(now), beliefs.routesByName());
        logShares(reports.size());
    }

    private boolean isWholeReportDue(long now) {
        int interval = Math.clamp(
                peers.count() / NODES_FOR_A_BRIEF_REPORT, FEWEST_REPORTS_FOR_DETAILS, MOST_REPORTS_FOR_DETAILS);
        boolean learning = now - startNanos < LEARNING.toNanos();
        return learning || sequence % interval == 0;
    }

    private boolean isReader() {
        List<Readers.Candidate> candidates = new ArrayList<>();
        if (beliefs.readsPlatform()) {
            candidates.add(new Readers.Candidate(settings.self(), settings.zone()));
        }
        for (Copy copy : beliefs.copies().all()) {
            if (peers.readsPlatform(copy.node())) {
                candidates.add(new Readers.Candidate(copy.node(), copy.record().zone()));
            }
        }
        return Readers.isReader(settings.self(), candidates);
    }

    private NodeReport report(long now) {
        return new NodeReport(
                ++sequence,
                beliefs.revision(),
                beliefs.readsPlatform(),
                plannedStop.isLeavingTold(),
                settings.service(),
                localRuns.load(now),
                (float) localRuns.workSeconds(now),
                false,
                demand.demands(),
                plan.ownCosts());
    }

    private void logShares(int reports) {
        for (String route : beliefs.routesByName().keySet()) {
            double share = plan.share(route);
            double logged = loggedShares.getOrDefault(route, 1.0);
            if (Math.abs(share - logged) >= LOGGED_SHARE_CHANGE) {
                loggedShares.put(route, share);
                effects.log(new Decision.ShareChanged(route, share, plan.offered(route), reports));
            }
        }
    }

    private void showReadiness(long now) {
        boolean settled = configuredNanos != Long.MAX_VALUE
                && (now - configuredNanos > SETTLING_LIMIT.toNanos()
                        || 2 * (peers.connected().size() + 1) >= peers.count());
        boolean nowReady = settled && !plannedStop.isOrdered();
        if (nowReady != ready) {
            ready = nowReady;
            effects.log(new Decision.NodeChanged(
                    ready ? "ready" : "not_ready",
                    "version=" + beliefs.version() + " peers="
                            + peers.connected().size()));
            effects.add(new FleetEffect.ShowReadiness(ready));
        }
    }

    /**
     * Tells when the policy must be woken if nothing happens before.
     *
     * @return a time on the monotonic clock in nanoseconds
     */
    public long nextWakeNanos() {
        long control = Math.min(nextTickNanos, beliefs.dueNanos());
        return Math.min(control, Math.min(localRuns.nextNanos(), outgoing.nextNanos()));
    }
}
