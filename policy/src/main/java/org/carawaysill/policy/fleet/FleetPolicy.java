package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.allowance.FleetAllowances;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;
import org.carawaysill.policy.fleet.entry.MixedWork;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.Readers;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.NodeState;
import org.carawaysill.policy.time.Moment;

/**
 * Makes all decisions of one node in a fleet whose routes are common to all nodes and whose copies are published.
 *
 * <p>Has no input, output, threads, clock or hidden randomness. Invariant: the same events at the same moments give the
 * same effects, for the same seed. Not thread safe: one thread owns it.
 */
public final class FleetPolicy {

    /** How long a new node waits for connections to other nodes before it accepts clients with fewer of them. */
    private static final Duration SETTLING_LIMIT = Duration.ofSeconds(1);

    /** After a longer gap between events, silence does not show that other nodes are gone: this process was paused. */
    private static final Duration PAUSE = Duration.ofMillis(800);

    private static final double LOGGED_SHARE_CHANGE = 0.1;

    private FleetSettings settings;
    private final Effects effects = new Effects();
    private final PublishedView view;
    private final Peers peers;
    private final FleetState state;
    private final PublicationExchange exchange;
    private final FleetAllowances allowances;
    private final DemandMeter demand;
    private final EntryPlan plan;
    private final CrashSuspects suspects;
    private final LocalRuns localRuns;
    private final OutgoingRequests outgoing;
    private final UnsentMessages unsentMessages;
    private final ServiceLoads loads;
    private final PlannedStop plannedStop;
    private final Map<DemandKey, Double> loggedShares = new HashMap<>();
    private long nextTickNanos;
    private long lastNanos;
    private long configuredNanos = Long.MAX_VALUE;
    private long sequence;
    private long announcedDigest;
    private boolean ready;

    /**
     * Creates the policy of a node that has just started.
     *
     * @param settings the node's identity and bounds
     * @param decoder decodes published entries
     * @param random the source of identifiers and jitter
     * @param start the moment at which the process started
     */
    public FleetPolicy(FleetSettings settings, PublicationDecoder decoder, RandomGenerator random, Moment start) {
        this.settings = settings;
        long now = start.nanos();
        view = new PublishedView(now, settings.drainLimit(), decoder, random, effects);
        peers = new Peers(settings.self(), effects);
        allowances = new FleetAllowances(now, settings.allowances(), random);
        state = new FleetState(settings, effects, view, peers, allowances);
        exchange = new PublicationExchange(now, effects, view);
        announcedDigest = view.published().digest();
        demand = new DemandMeter(now);
        plan = new EntryPlan(settings.disabledMechanisms());
        ReachableNodes reachableNodes = new ReachableNodes(settings.self(), peers, state);
        suspects = new CrashSuspects(settings, effects, view, peers, reachableNodes);
        localRuns = new LocalRuns(settings, effects, suspects);
        outgoing = new OutgoingRequests(
                new FleetParts(
                        settings, effects, view, peers, reachableNodes, suspects, localRuns, allowances, demand, plan),
                random);
        unsentMessages = new UnsentMessages(effects);
        loads = new ServiceLoads(settings, view, reachableNodes, state, localRuns);
        plannedStop = new PlannedStop(effects, outgoing, localRuns, unsentMessages);
        nextTickNanos = now;
        lastNanos = now;
    }

    /**
     * Decides about an event.
     *
     * @param moment the moment, never earlier than the previous one
     * @param event the event
     * @return the effects, in the order in which to apply them
     */
    public List<FleetEffect> decide(Moment moment, FleetEvent event) {
        long now = moment.nanos();
        noticePause(now);
        switch (event) {
            case FleetEvent.RequestArrived arrival -> outgoing.arrived(now, arrival);
            case FleetEvent.ExchangeClosed closed -> outgoing.exchangeClosed(now, closed.exchange());
            case FleetEvent.CopyAnswered answered -> localRuns.answered(now, answered);
            case FleetEvent.CopyCrashed crashed -> localRuns.crashed(now, crashed.attempts());
            case FleetEvent.PeerReceived received -> received(moment, received.from(), received.message());
            case FleetEvent.PeerConnected connected -> peerConnected(now, connected);
            case FleetEvent.PeerLost lost -> {
                peers.lost(lost.peer());
                state.lost(lost.peer());
                exchange.peerLost(lost.peer());
                localRuns.senderLost(now, lost.peer());
                outgoing.peerLost(now, lost.peer());
            }
            case FleetEvent.PeerUnsent(NodeName _, PeerMessage.CopyRequest request) -> outgoing.unsent(now, request);
            case FleetEvent.PeerUnsent(NodeName _, PeerMessage.PlaceGranted(AttemptIdentifier attempt)) ->
                localRuns.grantUnsent(now, attempt);
            case FleetEvent.PeerUnsent(NodeName peer, PeerMessage.AttemptBody body) ->
                outgoing.bodyUnsent(now, peer, body.attempt());
            case FleetEvent.PeerUnsent(NodeName peer, PeerMessage message) -> unsentMessages.unsent(now, peer, message);
            case FleetEvent.WakeUp _ -> {}
            case FleetEvent.EntriesRead read -> {
                view.read(now, read);
                publicationChanged(moment);
            }
            case FleetEvent.EntriesReadFailed failed -> view.readFailed(now, failed.failure());
            case FleetEvent.SettingsChanged changed -> reload(changed.settings());
            case FleetEvent.StopRequested _ -> plannedStop.order(now);
            case FleetEvent.UnwrittenChecked checked -> plannedStop.unwrittenChecked(now, checked);
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
        peers.received(now, from);
        switch (message) {
            case PeerMessage.CopyRequest request -> requested(now, from, request);
            case PeerMessage.CopyAnswer answer -> outgoing.peerAnswered(now, from, answer);
            case PeerMessage.CancelAttempt cancel -> localRuns.cancelled(now, cancel.attempt());
            case PeerMessage.WithdrawAttempt withdraw -> localRuns.withdrawn(now, from, withdraw.attempt());
            case PeerMessage.NodeReport report -> reported(now, from, report);
            case PeerMessage.ReportWanted _ -> state.sendReport(from, report(now));
            case PeerMessage.GroupSummary(StateSummary summary) -> {
                state.groupSummaryReceived(now, from, summary);
                exchange.stateReceived(now, from, false, summary.published());
            }
            case PeerMessage.FleetSummary(StateSummary summary) -> {
                state.fleetSummaryReceived(now, from, summary);
                exchange.stateReceived(now, from, true, summary.published());
            }
            case PeerMessage.Suspicions suspicions -> {
                if (suspects.received(now, from, suspicions)) {
                    localRuns.recheck(now);
                }
            }
            case PeerMessage.EntriesWanted wanted -> exchange.entriesRequested(from, wanted);
            case PeerMessage.Entries entries -> {
                view.received(now, from, entries);
                exchange.entriesReceived(from, entries.position());
                publicationChanged(moment);
            }
            case PeerMessage.PlaceGranted(AttemptIdentifier attempt) -> outgoing.placeGranted(now, from, attempt);
            case PeerMessage.AttemptBody body -> localRuns.bodyReceived(now, from, body);
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
                // Only fleets without common routes use these messages.
            }
        }
    }

    /**
     * Accepts an attempt or a question. Guards against the reply that an attempt is not here while its answer waits to
     * be sent: the answer replies to the question.
     */
    private void requested(long now, NodeName from, PeerMessage.CopyRequest request) {
        if (!CopyRequests.isQuestion(request) || !unsentMessages.holdsAnswerTo(from, request.attempt())) {
            localRuns.accept(now, Optional.of(from), request);
        }
    }

    private void reported(long now, NodeName from, NodeReport report) {
        peers.reported(now, from, report);
        state.reported(now, from, report);
        for (Copy copy : view.copies().beside(from)) {
            copy.receiveLoad(now, report.load());
            copy.receiveWorkSeconds(report.workSeconds());
        }
        exchange.stateReceived(now, from, report.sameZone(), report.published());
    }

    private void peerConnected(long now, FleetEvent.PeerConnected connected) {
        NodeName peer = connected.peer();
        boolean sameProcess = peers.connected(now, peer, connected.incarnation());
        if (!sameProcess) {
            localRuns.senderRestarted(peer);
        }
        unsentMessages.connected(now, peer, sameProcess);
        outgoing.peerConnected(now, peer, sameProcess);
        exchange.peerLost(peer);
        suspects.peerConnected(now, peer);
        state.sendReport(peer, report(now));
    }

    /** Announces a newer published state at once: the periodic reports would reach other nodes too late. */
    private void announcePublished(long now) {
        long digest = view.published().digest();
        if (digest != announcedDigest) {
            announcedDigest = digest;
            state.announcePublished(now, report(now));
        }
    }

    /** Announces the stop to all nodes, even those that know this one only from summaries: none may send work here. */
    private void announceLeaving(long now) {
        NodeReport report = report(now);
        peers.connected().forEach(peer -> state.sendReport(peer, report));
    }

    private void publicationChanged(Moment moment) {
        long now = moment.nanos();
        announcePublished(now);
        if (view.configuration().isPresent() && configuredNanos == Long.MAX_VALUE) {
            configuredNanos = now;
        }
        peers.published(now, view.copies().hosts());
        outgoing.nodeCount(peers.count());
        outgoing.routes(view.routesByName().keySet());
        localRuns.configured(now, view.workOf(settings.service()));
        view.copies()
                .at(settings.copyAddress())
                .ifPresentOrElse(
                        copy -> localRuns.published(moment, copy),
                        () -> localRuns.unpublished(now, view.copies()::isPublished));
    }

    /** Applies changed bounds; the node's identity and its listening address can't change while it runs. */
    private void reload(FleetSettings newer) {
        settings = newer;
        outgoing.retries(newer.retries());
        allowances.bounds(newer.allowances());
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
        if (now >= view.dueNanos()) {
            view.startRead(now);
        }
        exchange.passTime(now);
        localRuns.passTime(now);
        outgoing.passTime(now);
        unsentMessages.sendAgain(now, peers::isConnected);
        showReadiness(now);
        if (plannedStop.isAnnouncementDue(now, settings.stopLimit())) {
            announceLeaving(now);
        }
        plannedStop.passTime(now, settings.stopLimit());
    }

    private void tick(long now) {
        view.passTime(now);
        suspects.passTime(now);
        peers.passTime(now, outgoing.nodesWithPendingReply(), localRuns.senders());
        localRuns.endOverdue(now);
        unsentMessages.passTime(now);
        localRuns.logLimit(now);
        demand.close(now);
        allowances.nodes(view.nodeCount(now, peers::isReachable));
        state.tick(now, report(now), plan::needsCallers);
        chooseReaders(now);
        plan.update(
                state.routes(),
                loads.sum(now),
                view.routesByName(),
                new MixedWork(view.mixedServices(), demand::offeredPerSecond));
        logShares(state.states().size());
    }

    /** Chooses the nodes that read the platform. If none can read it, all candidates retry. */
    private void chooseReaders(long now) {
        List<Readers.Candidate> able = new ArrayList<>();
        List<Readers.Candidate> all = new ArrayList<>();
        Readers.Candidate self = new Readers.Candidate(settings.self(), settings.zone());
        all.add(self);
        if (view.mayReadPlatform()) {
            able.add(self);
        }
        for (Copy copy : view.copies().allIncludingUnconfigured()) {
            NodeName node = copy.node();
            if (!node.equals(settings.self()) && peers.isReachable(node) && state.isListed(node)) {
                Readers.Candidate candidate =
                        new Readers.Candidate(node, copy.record().zone());
                all.add(candidate);
                if (readsPlatform(node)) {
                    able.add(candidate);
                } else {
                    view.otherNodeFailedToRead(now);
                }
            }
        }
        view.setReader(now, Readers.isReader(settings.self(), able.isEmpty() ? all : able));
    }

    private boolean readsPlatform(NodeName node) {
        return state.state(node).map(NodeState::readsPlatform).orElseGet(() -> peers.readsPlatform(node));
    }

    private NodeReport report(long now) {
        return new NodeReport(
                ++sequence,
                view.published(),
                view.mayReadPlatform(),
                plannedStop.isLeavingAnnounced(),
                true,
                settings.service(),
                localRuns.load(now),
                (float) localRuns.workSeconds(now),
                false,
                false,
                demand.demands(),
                plan.ownCosts(),
                allowances.own(now));
    }

    private void logShares(int nodes) {
        for (DemandKey key : plan.keys()) {
            double share = plan.share(key);
            double logged = loggedShares.getOrDefault(key, 1.0);
            if (Math.abs(share - logged) >= LOGGED_SHARE_CHANGE) {
                loggedShares.put(key, share);
                effects.log(new Decision.ShareChanged(
                        key.route(), key.organisationRank(), share, plan.bound(key), plan.offered(key), nodes));
            }
        }
        loggedShares.keySet().retainAll(plan.keys());
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
                    "version=" + view.version() + " peers=" + peers.connected().size()));
            effects.add(new FleetEffect.ShowReadiness(ready));
        }
    }

    /**
     * Returns the memory of the requests for the local copy that other nodes sent.
     *
     * @return the number of bytes
     */
    public long receivedBytes() {
        return localRuns.receivedBytes();
    }

    /**
     * Returns when the policy must be woken if no event occurs before.
     *
     * @return a time on the monotonic clock in nanoseconds
     */
    public long nextWakeNanos() {
        long control = Math.min(Math.min(nextTickNanos, view.dueNanos()), exchange.nextNanos());
        long stop = plannedStop.nextNanos(lastNanos, settings.stopLimit());
        long requests = Math.min(localRuns.nextNanos(), outgoing.nextNanos());
        return Math.min(Math.min(control, stop), Math.min(requests, unsentMessages.nextNanos(peers::isConnected)));
    }
}
