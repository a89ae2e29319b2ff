package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationDocument;
import org.carawaysill.policy.message.PeerMessage.ConfigurationWanted;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.time.Moment;

/**
 * Distributes the documents of a node's own service and of the services that it calls, and puts them in force: a few
 * elected nodes of each service watch them at the platform, the others get them from nodes.
 *
 * <p>Invariant: the version in force of a service never falls, and no version is in force before the node knows the
 * versions in force at its peers. Not thread safe: one thread owns it.
 */
public final class ConfigurationDistribution {

    private static final long ELECTION_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final NodeName self;
    private final DistributionSettings settings;
    private final DocumentSet documents;
    private final PeerExchange exchange;
    private final PlatformReads reads;
    private final StartingGate gate;
    private final Adoption adoption;
    private final PlatformAnswers answers;
    private final PeerDocuments peerDocuments;
    private boolean started;

    /** Whether an event may affect the elections, the reads, the requests to other nodes or the starting gate. */
    private boolean reevaluate;

    private long nextWakeNanos = Long.MIN_VALUE;

    /**
     * Creates the distribution of a node that has just started and has no documents.
     *
     * @param self this node
     * @param own its service
     * @param parser the checks that a document must pass
     * @param settings the settings of the distribution
     * @param random the source of jitter
     */
    public ConfigurationDistribution(
            NodeName self,
            ServiceName own,
            DocumentParser parser,
            DistributionSettings settings,
            RandomGenerator random) {
        this.self = self;
        this.settings = settings;
        this.documents = new DocumentSet(own);
        this.exchange = new PeerExchange(documents, random);
        this.reads = new PlatformReads(settings, random);
        this.gate = new StartingGate(self, settings.startTimeout());
        this.adoption = new Adoption(self, parser, documents, gate);
        this.answers = new PlatformAnswers(documents, adoption, exchange, reads);
        this.peerDocuments = new PeerDocuments(documents, adoption, exchange);
    }

    /**
     * Handles an event; events that don't concern configuration have no effect.
     *
     * @param now the time of the event
     * @param event the event; the first one starts the distribution
     * @return the resulting effects
     */
    public List<Effect> handle(Moment now, Event event) {
        if (!started) {
            started = true;
            reads.scheduleFirstRead(now.nanos(), documents.own());
        }
        List<Effect> effects = new ArrayList<>(dispatch(now.nanos(), event));
        if (reevaluate || now.nanos() >= nextWakeNanos) {
            reevaluate = false;
            effects.addAll(wakeUp(now.nanos()));
        }
        return effects;
    }

    private List<Effect> dispatch(long now, Event event) {
        return switch (event) {
            case Event.ConfigurationRead read -> reevaluateAfter(answers.handle(now, read));
            case Event.ConfigurationUnchanged unchanged -> reevaluateAfter(answers.handle(now, unchanged));
            case Event.ConfigurationRefused refusal -> reevaluateAfter(answers.handle(now, refusal));
            case Event.ConfigurationReadFailed failed -> reevaluateAfter(answers.handle(now, failed));
            case Event.VmListRead read -> {
                gate.vmList(read.list());
                reads.fleetSize(now, read.list().states().size());
                yield reevaluateAfter(List.of());
            }
            case Event.PeerConnected peer -> {
                exchange.connected(now, peer.peer());
                yield reevaluateAfter(List.of());
            }
            case Event.PeerLost peer -> {
                exchange.lost(peer.peer());
                yield reevaluateAfter(List.of());
            }
            case Event.PeerReceived received -> {
                exchange.recordContact(now, received.from());
                yield dispatch(now, received.from(), received.message());
            }
            case Event.CallerRequest _,
                    Event.CopyCall _,
                    Event.ExchangeClosed _,
                    Event.CopyAnswered _,
                    Event.PeerUnsent _,
                    Event.DrainOrdered _,
                    Event.WakeUp _ -> List.of();
        };
    }

    private List<Effect> dispatch(long now, NodeName from, PeerMessage message) {
        return switch (message) {
            case Heartbeat heartbeat -> {
                boolean hasNewVersion = exchange.recordVersions(from, heartbeat.versions());
                reevaluate = hasNewVersion || !gate.isOpen();
                yield List.of();
            }
            case ConfigurationWanted wanted ->
                exchange.answer(from, wanted).stream().toList();
            case ConfigurationDocument document -> reevaluateAfter(peerDocuments.handle(from, document));
            case ConfigurationChange change -> reevaluateAfter(peerDocuments.handle(now, from, change));
            case PeerMessage.PeerRequest _,
                    PeerMessage.PeerAnswer _,
                    PeerMessage.CancelAttempt _,
                    PeerMessage.DrainNotice _,
                    PeerMessage.LeaseRequest _,
                    PeerMessage.LeaseReply _,
                    PeerMessage.HolderHandover _,
                    PeerMessage.CopyRequest _,
                    PeerMessage.CopyAnswer _,
                    PeerMessage.NodeReport _,
                    PeerMessage.ReportWanted _,
                    PeerMessage.GroupSummary _,
                    PeerMessage.FleetSummary _,
                    PeerMessage.EntriesWanted _,
                    PeerMessage.Suspicions _,
                    PeerMessage.PlaceGranted _,
                    PeerMessage.AttemptBody _,
                    PeerMessage.WithdrawAttempt _,
                    PeerMessage.Entries _ -> List.of();
        };
    }

    private List<Effect> reevaluateAfter(List<Effect> effects) {
        reevaluate = true;
        return effects;
    }

    private List<Effect> wakeUp(long now) {
        reads.follow(documents.followed());
        electReaders(now);
        List<Effect> effects = new ArrayList<>(exchange.requestNewerVersions(now));
        if (gate.tryOpen(now, documents.newestOwn(), exchange::hasReported, exchange.isBehind(now))) {
            effects.addAll(adoption.putAllInForce());
        }
        effects.addAll(reads.startDue(
                now,
                documents.own(),
                service -> mayRead(now, service),
                service -> documents.of(service).highestCheckedVersion()));
        nextWakeNanos =
                Math.min(now + ELECTION_INTERVAL_NANOS, Math.min(reads.nextWakeNanos(), gate.nextWakeNanos(now)));
        return effects;
    }

    /** A node that is receiving its first document from a peer need not read it from the platform too. */
    private boolean mayRead(long now, ServiceName service) {
        return documents.of(service).newest().isPresent() || !exchange.isRequestPending(now, service);
    }

    private void electReaders(long now) {
        Optional<ServiceConfiguration> own = documents.newestOwn();
        if (own.isEmpty()) {
            return;
        }
        Collection<NodeName> candidates = new HashSet<>(exchange.nodesInContact(now));
        candidates.add(self);
        reads.nodesInContact(now, candidates.size());
        for (ServiceName service : documents.followed()) {
            boolean elected = ReaderElection.elect(service, own.get(), candidates, settings.readersPerService())
                    .contains(self);
            boolean sentByCalledService =
                    !service.equals(documents.own()) && exchange.isInContactWithCalled(now, service);
            reads.setReader(now, service, elected && !sentByCalledService);
        }
    }

    /**
     * Returns the configuration in force at this node.
     *
     * @param service the service
     * @return its configuration; empty before the node is ready to serve
     */
    public Optional<ServiceConfiguration> inForce(ServiceName service) {
        return documents.follows(service) ? documents.of(service).inForce() : Optional.empty();
    }

    /**
     * Returns the newest configuration that this node has, even before it is in force. A starting node finds its peers
     * in it.
     *
     * @param service the service
     * @return its configuration
     */
    public Optional<ServiceConfiguration> newest(ServiceName service) {
        return documents.follows(service) ? documents.of(service).newest() : Optional.empty();
    }

    /**
     * Returns a number that rises when documents are stored or put in force. A caller can compare it to detect whether
     * {@link #newest} or {@link #inForce} may have changed.
     *
     * @return a number that rises with each change
     */
    public long revision() {
        return adoption.revision();
    }

    /**
     * Returns the versions in force.
     *
     * @return the version by service
     */
    public Map<ServiceName, Long> versions() {
        Map<ServiceName, Long> versions = new TreeMap<>();
        for (ServiceName service : documents.followed()) {
            inForce(service).ifPresent(configuration -> versions.put(service, configuration.version()));
        }
        return versions;
    }

    /**
     * Returns the versions to send in a heartbeat to a node.
     *
     * @param peer the receiver
     * @return the newest version of each service's document at this node; 0 if it has none yet
     */
    public Map<ServiceName, Long> versionsFor(NodeName peer) {
        return exchange.versionsFor(peer);
    }

    /**
     * Returns the last refused document of each service, as long as no newer valid one is known.
     *
     * @return the refused document by service
     */
    public Map<ServiceName, RefusedDocument> refused() {
        Map<ServiceName, RefusedDocument> refused = new TreeMap<>();
        for (ServiceName service : documents.followed()) {
            documents.of(service).refused().ifPresent(document -> refused.put(service, document));
        }
        return refused;
    }

    /**
     * Returns whether the node may serve under the configuration in force.
     *
     * @return whether this node knows the versions in force at its peers
     */
    public boolean readyToServe() {
        return gate.isOpen();
    }

    /**
     * Returns when to deliver the next wake-up if no event occurs before.
     *
     * @return nanoseconds on the monotonic clock
     */
    public long nextWakeNanos() {
        return nextWakeNanos;
    }
}
