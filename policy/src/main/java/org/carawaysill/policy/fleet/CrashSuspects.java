package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.CrashCount;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.fleet.quarantine.Fingerprints;
import org.carawaysill.policy.fleet.quarantine.SuspectTable;
import org.carawaysill.policy.fleet.quarantine.SuspicionState;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.Suspicion;
import org.carawaysill.policy.routing.RendezvousRank;

/**
 * Tracks which requests may have crashed copies, where these may still run, and which are refused.
 *
 * <p>A request is suspected if it was running at a copy that crashed; the nodes of the service's other copies are
 * notified at once. It may then run at only one copy of the service, which all nodes choose by the same rule, with as
 * few other suspects as time allows. A copy's answer clears it. If a copy crashes while it runs just one suspected
 * request, that is the cause, and all nodes refuse it. Not thread safe: owned by the policy.
 */
final class CrashSuspects {

    /** The sweep interval: entries expire over minutes. */
    private static final long SWEEP_NANOS = Duration.ofSeconds(10).toNanos();

    /** The retry delay for a suspected request that must run at another copy: its sender sends it there at once. */
    private static final Duration OTHER_COPY_RETRY_AFTER = Duration.ofMillis(50);

    /** Copies that end for a common cause end, and are reported, within this time of each other. */
    private static final Duration COMMON_CAUSE_WINDOW = Duration.ofMillis(250);

    /** The time within which all nodes know of a copy that has started. */
    private static final Duration KNOWN_EVERYWHERE = Duration.ofMillis(1500);

    private final FleetSettings settings;
    private final Effects effects;
    private final PublishedView view;
    private final Peers peers;
    private final ReachableNodes reachableNodes;
    private final Fingerprints fingerprints = new Fingerprints();
    private final SuspectTable table = new SuspectTable();
    private long nextSweepNanos = Long.MIN_VALUE;
    private FleetEffect.ShowSuspects shown = new FleetEffect.ShowSuspects(0, 0);

    /**
     * A request that was running at a copy when it crashed, and the reason that its sender gets.
     *
     * @param run the request
     * @param reason the reason
     */
    record LostRun(LocalRun run, UnknownReason reason) {}

    CrashSuspects(
            FleetSettings settings, Effects effects, PublishedView view, Peers peers, ReachableNodes reachableNodes) {
        this.settings = settings;
        this.effects = effects;
        this.view = view;
        this.peers = peers;
        this.reachableNodes = reachableNodes;
    }

    /** Returns what is known of a request; costs nothing as long as no copy has crashed. */
    private SuspicionState suspicionState(
            long now, ServiceName service, Optional<OrganisationName> organisation, RequestContent content) {
        return table.isEmpty()
                ? new SuspicionState.Clear()
                : table.suspicionState(now, fingerprints.of(service, organisation, content));
    }

    private SuspicionState suspicionState(long now, CopyRequest request) {
        return suspicionState(now, request.service(), request.organisation(), request.content());
    }

    /** Returns whether a copy crashed while it ran a request that has not been cleared since. */
    boolean isSuspected(long now, CopyRequest request) {
        return suspicionState(now, request) instanceof SuspicionState.Suspected;
    }

    /** Returns whether nothing is known against a request. */
    boolean isClear(long now, CopyRequest request) {
        return suspicionState(now, request) instanceof SuspicionState.Clear;
    }

    /**
     * Returns the earliest time at which a suspected request may run again.
     *
     * <p>Guards against quarantining a popular request when several copies end together for another cause: it would run
     * alone at the second copy when that one ends too.
     */
    long earliestSuspectRunNanos() {
        return table.lastCrashNanos() + COMMON_CAUSE_WINDOW.toNanos();
    }

    /** Decides whether a request may run at the local copy. */
    Placement placement(long now, CopyRequest request) {
        return switch (suspicionState(now, request)) {
            case SuspicionState.Clear _ -> new Placement.Unsuspected();
            case SuspicionState.Suspected suspected -> placement(now, request, suspected);
            case SuspicionState.Quarantined found -> {
                logRefused(request.requestName(), found);
                yield new Placement.Refused(refusal(found, Step.QUEUE));
            }
        };
    }

    private Placement placement(long now, CopyRequest request, SuspicionState.Suspected suspected) {
        Optional<NodeName> place = permittedNode(now, request.service(), suspected);
        effects.log(new Decision.SuspectHandled(
                request.requestName(),
                suspected.fingerprint(),
                "suspected",
                suspected.crashes(),
                place.map(NodeName::value).orElse("-")));
        if (place.filter(settings.self()::equals).isPresent()) {
            return new Placement.OnlyHere(suspected.fingerprint(), suspected.mustRunAlone());
        }
        Duration retryAfter = place.isPresent() ? OTHER_COPY_RETRY_AFTER : KNOWN_EVERYWHERE;
        return new Placement.Refused(new Outcome.NotRun(RefusalReason.SUSPECTED, retryAfter, Step.QUEUE, place));
    }

    /** Refuses a client's request that is quarantined because copies crashed; returns empty for any other request. */
    Optional<Outcome.NotRun> refusal(long now, OutgoingRequest request) {
        FleetEvent.RequestArrived arrival = request.arrival();
        SuspicionState state =
                suspicionState(now, request.service(), request.origin().organisationName(), arrival.content());
        if (state instanceof SuspicionState.Quarantined found) {
            logRefused(arrival.requestName(), found);
            return Optional.of(refusal(found, Step.ADMISSION));
        }
        return Optional.empty();
    }

    private static Outcome.NotRun refusal(SuspicionState.Quarantined found, Step step) {
        return new Outcome.NotRun(
                RefusalReason.QUARANTINED, Duration.ofNanos(found.remainingNanos()), step, Optional.empty());
    }

    private void logRefused(String requestName, SuspicionState.Quarantined found) {
        effects.log(new Decision.SuspectHandled(requestName, found.fingerprint(), "quarantined", found.crashes(), "-"));
    }

    /**
     * Returns the node of the only copy of a service at which a suspected request may run.
     *
     * <p>If every copy could run it, attempts at several nodes at once would crash several copies before the first
     * crash is known. When all copies crash and restart, each node learns of its own first: a request that crashed
     * several copies waits until all nodes know which are back, so that it does not run at each of them.
     */
    private Optional<NodeName> permittedNode(long now, ServiceName service, SuspicionState.Suspected suspected) {
        Set<NodeName> candidates = new HashSet<>();
        for (Copy copy : view.copies().usable(service)) {
            boolean known = !suspected.mustRunAlone() || copy.isKnownFor(now, KNOWN_EVERYWHERE);
            boolean inReach = reachableNodes.contains(now, copy.node());
            if (known && inReach && !table.hasCrashed(fingerprints.start(copy.record()))) {
                candidates.add(copy.node());
            }
        }
        String key = suspected.fingerprint().toString();
        Optional<NodeName> first = RendezvousRank.rank(key, candidates).stream().findFirst();
        return suspected.mustRunAlone() ? first : first.or(() -> Optional.of(settings.self()));
    }

    /** Records a crash of the local copy, notifies other nodes, and returns the requests that were lost. */
    List<LostRun> crashed(long now, CopyRecord record, List<LocalRun> runs) {
        effects.count(CrashCount.COPY_CRASHED);
        Map<LocalRun, Fingerprint> byRun = new LinkedHashMap<>();
        runs.forEach(run -> byRun.put(
                run,
                fingerprints.of(
                        record.service(),
                        run.request().organisation(),
                        run.request().content())));
        Set<Fingerprint> all = new LinkedHashSet<>(byRun.values());
        effects.log(new Decision.CopyCrashed(record.copy(), record.startedAtMillis(), runs.size(), List.copyOf(all)));
        Set<Fingerprint> suspects = new LinkedHashSet<>(all);
        suspects.removeIf(fingerprint -> !isSuspected(now, fingerprint));
        boolean certain = suspects.size() == 1
                && runs.stream().anyMatch(run -> wasSentAsSuspect(run, suspects))
                && table.wouldBeCause(now, record.service(), suspects.iterator().next());
        Set<Fingerprint> possibleCauses = suspects.isEmpty() ? all : suspects;
        // The other requests stay suspected beside a cause, whose presence may have been a coincidence.
        addToTable(now, record, all, certain ? all : possibleCauses);
        if (certain) {
            quarantine(now, record, suspects.iterator().next());
        }
        notifyNodes(now, record.service(), all);
        UnknownReason possibleCauseReason = certain ? UnknownReason.QUARANTINED : UnknownReason.COPY_CRASHED;
        return runs.stream()
                .map(run -> new LostRun(
                        run, possibleCauses.contains(byRun.get(run)) ? possibleCauseReason : UnknownReason.COPY_LOST))
                .toList();
    }

    private boolean isSuspected(long now, Fingerprint fingerprint) {
        return table.suspicionState(now, fingerprint) instanceof SuspicionState.Suspected;
    }

    private boolean isQuarantined(long now, Fingerprint fingerprint) {
        return table.suspicionState(now, fingerprint) instanceof SuspicionState.Quarantined;
    }

    /**
     * Returns whether a request was already suspected when it was sent to the copy.
     *
     * <p>A request that ran before it was suspected proves nothing: a request that many callers make runs at each of
     * several copies that lose power at the same moment.
     */
    private static boolean wasSentAsSuspect(LocalRun run, Set<Fingerprint> suspects) {
        return run.suspected().filter(suspects::contains).isPresent();
    }

    private void addToTable(long now, CopyRecord record, Set<Fingerprint> all, Set<Fingerprint> noted) {
        long start = fingerprints.start(record);
        for (Fingerprint fingerprint : all) {
            if (noted.contains(fingerprint)) {
                table.suspect(now, record.service(), start, fingerprint);
                effects.count(CrashCount.SUSPECTED);
            } else {
                table.witness(now, record.service(), start, fingerprint);
            }
        }
    }

    private void quarantine(long now, CopyRecord record, Fingerprint fingerprint) {
        table.quarantine(now, fingerprint);
        effects.count(CrashCount.QUARANTINED);
        logQuarantine(now, fingerprint, "crash of " + record.copy());
    }

    /** Notes that the local copy answered a request; returns whether that cleared a suspicion. */
    boolean answered(long now, CopyRequest request) {
        ServiceName service = request.service();
        SuspicionState state = suspicionState(now, request);
        switch (state) {
            case SuspicionState.Clear _ -> {}
            case SuspicionState.Suspected suspected ->
                clear(now, service, suspected.fingerprint(), suspected.crashes());
            case SuspicionState.Quarantined found -> clear(now, service, found.fingerprint(), found.crashes());
        }
        return !(state instanceof SuspicionState.Clear);
    }

    private void clear(long now, ServiceName service, Fingerprint fingerprint, int crashes) {
        table.clear(now, fingerprint);
        effects.count(CrashCount.CLEARED);
        effects.log(new Decision.SuspicionChanged(fingerprint, "cleared", crashes, 0, "answered by the copy"));
        notifyNodes(now, service, Set.of(fingerprint));
    }

    /**
     * Sends the suspicions to the nodes of a service's copies, and quarantines to all nodes, where they outlast a
     * restart of all nodes of the service.
     */
    private void notifyNodes(long now, ServiceName service, Set<Fingerprint> changed) {
        List<Suspicion> suspicions = changed.stream()
                .map(fingerprint -> table.suspicion(now, fingerprint))
                .flatMap(Optional::stream)
                .toList();
        List<Suspicion> quarantines = suspicions.stream()
                .filter(suspicion -> suspicion.quarantinedAt() > 0)
                .toList();
        Set<NodeName> serviceNodes = nodesOf(service);
        for (NodeName peer : peers.connected()) {
            send(peer, service, serviceNodes.contains(peer) ? suspicions : quarantines);
        }
    }

    private void send(NodeName peer, ServiceName service, List<Suspicion> suspicions) {
        if (!suspicions.isEmpty()) {
            effects.add(new FleetEffect.SendToPeer(peer, new PeerMessage.Suspicions(service, suspicions)));
        }
    }

    private Set<NodeName> nodesOf(ServiceName service) {
        Set<NodeName> nodes = new HashSet<>();
        for (Copy copy : view.copies().all()) {
            if (copy.record().service().equals(service)) {
                nodes.add(copy.node());
            }
        }
        return nodes;
    }

    /**
     * Merges the suspicions of another node; returns whether anything was new.
     *
     * <p>A node of the service forwards a new quarantine to the service's other nodes: the node that found the cause
     * may end before it has notified all of them.
     */
    boolean received(long now, NodeName from, PeerMessage.Suspicions message) {
        Set<Fingerprint> quarantined = new LinkedHashSet<>();
        message.suspicions().forEach(suspicion -> quarantined.add(suspicion.fingerprint()));
        quarantined.removeIf(fingerprint -> isQuarantined(now, fingerprint));
        boolean changed = false;
        for (Suspicion suspicion : message.suspicions()) {
            changed |= table.merge(now, message.service(), suspicion);
        }
        quarantined.removeIf(fingerprint -> !isQuarantined(now, fingerprint));
        quarantined.forEach(fingerprint -> logQuarantine(now, fingerprint, "reported by " + from));
        if (message.service().equals(settings.service())) {
            notifyNodes(now, message.service(), quarantined);
        }
        return changed;
    }

    /** Sends the known suspicions to a node that has just connected: it may have restarted or missed messages. */
    void peerConnected(long now, NodeName peer) {
        if (table.isEmpty()) {
            return;
        }
        Set<ServiceName> services = new LinkedHashSet<>();
        view.copies().beside(peer).forEach(copy -> services.add(copy.record().service()));
        services.forEach(service -> send(peer, service, table.suspicions(now, service)));
    }

    private void logQuarantine(long now, Fingerprint fingerprint, String why) {
        if (table.suspicionState(now, fingerprint) instanceof SuspicionState.Quarantined found) {
            effects.log(new Decision.SuspicionChanged(
                    fingerprint, "quarantined", found.crashes(), found.remainingNanos(), why));
        }
    }

    /** Forgets expired suspicions, and updates the number of those that remain. */
    void passTime(long now) {
        if (now >= nextSweepNanos) {
            nextSweepNanos = now + SWEEP_NANOS;
            int forgotten = table.removeExpired(now);
            if (forgotten > 0) {
                effects.log(new Decision.SuspicionsForgotten(forgotten, table.size()));
            }
            for (int i = 0; i < forgotten; i++) {
                effects.count(CrashCount.FORGOTTEN);
            }
        }
        FleetEffect.ShowSuspects newest = new FleetEffect.ShowSuspects(table.size(), table.quarantined(now));
        if (!newest.equals(shown)) {
            shown = newest;
            effects.add(newest);
        }
    }
}
