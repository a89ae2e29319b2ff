package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.FleetConfiguration;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.CopyTable;
import org.carawaysill.policy.fleet.publication.PlatformReads;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.PublicationDecoder.Publication;
import org.carawaysill.policy.fleet.publication.PublishedEntries;
import org.carawaysill.policy.fleet.route.MixedServices;
import org.carawaysill.policy.fleet.route.RouteTable;
import org.carawaysill.policy.fleet.schedule.ServiceWork;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PublishedState;
import org.carawaysill.policy.time.Nanos;

/**
 * This node's view of what is published: the configuration in force and the copies, learned from the platform or from
 * other nodes.
 *
 * <p>Invariants: the configuration's version never falls; a copy that left gets no work before it is published again,
 * even while the platform shows an older state; an entry that can't be read changes nothing. Not thread safe: owned by
 * the policy.
 */
final class PublishedView {

    private static final long UNKNOWN_DIGEST = 0;

    /** The source name of entries that this node read itself. */
    static final String PLATFORM = "platform";

    private static final String GONE = "gone";

    /** The state of a copy whose own answer says that it leaves. */
    private static final String LEAVING = "leaving";

    private final Effects effects;
    private final PublicationDecoder decoder;
    private final PublishedEntries entries = new PublishedEntries();
    private final PublicationUpdates updates = new PublicationUpdates(entries);
    private final CopyTable copies = new CopyTable();
    private final PlatformReads reads;
    private final ReadAnswers answers;
    private final LapsedNodes lapsed = new LapsedNodes();
    private Optional<FleetConfiguration> configuration = Optional.empty();
    private RouteTable routes = new RouteTable(List.of());
    private Map<String, Route> routesByName = Map.of();
    private MixedServices mixedServices = MixedServices.NONE;
    private long digest = UNKNOWN_DIGEST;
    private long confirmedNanos;

    /** Where entries come from, how long entries that are missing there stay in use, and their decoded meanings. */
    private record Source(String name, Revision asOf, long missingUntilNanos, Map<KnownEntry, Publication> meanings) {}

    PublishedView(long now, Duration drainLimit, PublicationDecoder decoder, RandomGenerator random, Effects effects) {
        this.decoder = decoder;
        this.effects = effects;
        reads = new PlatformReads(now, drainLimit, random);
        answers = new ReadAnswers(effects, decoder, entries, reads);
        confirmedNanos = now;
    }

    Optional<FleetConfiguration> configuration() {
        return configuration;
    }

    /** Returns whether, within the given time, the platform answered or another node with the same state reported. */
    boolean isConfirmedWithin(long now, Duration time) {
        return now - confirmedNanos <= time.toNanos();
    }

    long version() {
        return configuration.map(FleetConfiguration::version).orElse(0L);
    }

    RouteTable routes() {
        return routes;
    }

    Map<String, Route> routesByName() {
        return routesByName;
    }

    /** Returns the services that do both short and long work. */
    MixedServices mixedServices() {
        return mixedServices;
    }

    /** Returns what the callers of a service need, if it does both short and long work. */
    Optional<ServiceWork> workOf(ServiceName service) {
        return mixedServices.contains(service) ? ServiceWork.of(service, routesByName.values()) : Optional.empty();
    }

    CopyTable copies() {
        return copies;
    }

    boolean mayReadPlatform() {
        return reads.mayRead();
    }

    /** Notes that another node recently failed to read the platform. */
    void otherNodeFailedToRead(long now) {
        reads.otherNodeFailed(now);
    }

    void setReader(long now, boolean forOthers) {
        reads.setReader(now, forOthers);
    }

    long dueNanos() {
        return reads.dueNanos();
    }

    /** Schedules a full read soon, whichever nodes read at present. */
    void readEverything(long now) {
        effects.log(new Decision.DependencyChanged(PLATFORM, "read_anew", "other nodes report a different state"));
        reads.scheduleCompleteRead(now);
    }

    void startRead(long now) {
        effects.count(ConfigurationCount.READ);
        effects.add(reads.start(now, entries.asOf()));
    }

    void read(long now, FleetEvent.EntriesRead read) {
        confirmedNanos = now;
        ReadAnswers.NewerEntries newer = answers.receive(now, read, updates.revision(), version());
        apply(
                now,
                newer.entries(),
                new Source(PLATFORM, Revision.NONE, reads.reappearanceDeadlineNanos(now), newer.meanings()));
    }

    void readFailed(long now, FleetEvent.ReadFailure failure) {
        effects.count(ConfigurationCount.READ_FAILED);
        long waited = Nanos.toMillis(reads.waitingNanos(now));
        if (reads.failed(now, failure)) {
            effects.log(new Decision.DependencyChanged(
                    PLATFORM,
                    "unreadable",
                    "failure=" + failure + " after_ms=" + waited + " " + ReadAnswers.describe(entries.asOf())));
        }
    }

    /**
     * Merges the entries that another node sent. The sender reports an entry as removed only after it has waited for it
     * to come back, so such an entry is gone.
     */
    void received(long now, NodeName from, PeerMessage.Entries message) {
        confirmedNanos = now;
        answers.eraReceived(message.upTo().era());
        if (message.upTo().era() > knownUpTo().era()) {
            reads.eraBegan(now);
        }
        List<KnownEntry> newer = entries.mergeReceived(message.upTo(), message.complete(), message.entries());
        Source source = new Source(from.value(), message.upTo(), now, Map.of());
        apply(now, newer, source);
        newer.forEach(entry -> expectRepublication(now, entry));
        newer.forEach(entry -> rememberRemoval(entry, source));
        message.entries().forEach(entry -> removeIfKnownRemoved(now, entry, source));
        updates.caughtUp(message.upTo());
        if (configuration.isPresent()) {
            reads.stateReceived(now);
        }
    }

    /**
     * Expects an entry of an older era to be written at the platform again, and removes its copy if that does not
     * happen.
     *
     * <p>Guards against a copy that is permanently gone but stays in use because a node that does not know the
     * platform's present era reports it: an entry that the platform has lost must be written there again.
     */
    private void expectRepublication(long now, KnownEntry received) {
        long era = received.revision().era();
        if (!received.isRemoved()
                && era != Revision.UNKNOWN_ERA
                && era < entries.asOf().era()) {
            copies.remove(now, received.key(), reads.expectedUntilNanos(now));
        }
    }

    /**
     * Removes a copy whose entry this node still expects back when another node knows that it is removed.
     *
     * <p>Guards against sending work to a copy that has left: a node that could not read the platform for a while can't
     * tell a removed entry from one that lapsed while the platform was away, but nodes that read all the time can.
     */
    private void removeIfKnownRemoved(long now, KnownEntry received, Source source) {
        if (received.isRemoved() && copies.isMissing(received.key()) && updates.isReplacedBy(received)) {
            remove(now, received.key(), received.revision().newest(source.asOf()), source);
        }
    }

    /** Returns the entries that another node does not have. */
    PeerMessage.Entries entriesMissingAt(PeerMessage.EntriesWanted wanted) {
        return updates.entriesMissingAt(wanted);
    }

    /** Returns the revision up to which this node knows all changes, from its own reads or from other nodes. */
    Revision knownUpTo() {
        return entries.asOf().newest(updates.revision());
    }

    /** Applies newer entries; an entry from another node counts as changed at that node's revision. */
    private void apply(long now, List<KnownEntry> newer, Source source) {
        for (KnownEntry entry : newer) {
            Revision at = entry.revision().newest(source.asOf());
            if (entry.text().isEmpty()) {
                remove(now, entry.key(), at, source);
            } else {
                adopt(now, entry, entry.text().get(), at, source);
            }
        }
    }

    private void remove(long now, String key, Revision at, Source source) {
        copies.remove(now, key, source.missingUntilNanos()).ifPresent(copy -> {
            lapsed.add(now, copy);
            dropped(key, copy, at, source.name());
        });
    }

    /** Passes on removals of entries that were never in use here, to nodes that start later. */
    private void rememberRemoval(KnownEntry received, Source source) {
        if (received.isRemoved() && !updates.isKnown(received.key())) {
            updates.changed(received.key(), received.revision().newest(source.asOf()));
        }
    }

    /** Notes that a copy's own answer says that it leaves, which no published state takes back. */
    void copyLeaves(Copy copy) {
        if (copies.leaves(copy)) {
            logCopy(copy, LEAVING, Revision.NONE, copy.node().value());
        }
    }

    private void dropped(String key, Copy copy, Revision at, String learnedFrom) {
        digest = UNKNOWN_DIGEST;
        updates.dropped(key, at);
        logCopy(copy, GONE, at, learnedFrom);
    }

    private void adopt(long now, KnownEntry entry, String text, Revision at, Source source) {
        Publication meaning =
                Optional.ofNullable(source.meanings().get(entry)).orElseGet(() -> decoder.decode(entry.key(), text));
        switch (meaning) {
            case Publication.Configured(FleetConfiguration published) -> adopt(entry, published, at, source.name());
            case Publication.Listed(CopyRecord record) -> {
                updates.use(entry);
                copies.put(now, entry.key(), record, entry.revision()).ifPresent(copy -> {
                    changed(entry.key(), at);
                    String state = copy.isLeaving() ? "draining" : Decision.CopyChanged.READY;
                    logCopy(copy, state, entry.revision(), source.name());
                });
            }
            case Publication.Irrelevant _ -> {}
            case Publication.Unreadable(String fault) -> {
                effects.count(ConfigurationCount.REFUSED);
                effects.log(new Decision.EntryRefused(entry.key(), entry.revision(), fault));
                // The last readable value is no longer valid: it is unknown which copy listens at that address now.
                copies.remove(now, entry.key(), now).ifPresent(copy -> dropped(entry.key(), copy, at, source.name()));
            }
        }
    }

    private void adopt(KnownEntry entry, FleetConfiguration published, Revision at, String learnedFrom) {
        if (published.version() <= version()) {
            effects.count(ConfigurationCount.STALE_READ);
            return;
        }
        effects.count(ConfigurationCount.ADOPTED);
        effects.log(new Decision.ConfigurationAdopted(
                published.version(), version(), published.routes().size(), entry.revision(), learnedFrom));
        updates.use(entry);
        changed(entry.key(), at);
        configuration = Optional.of(published);
        routes = new RouteTable(published.routes());
        mixedServices = MixedServices.of(published.routes());
        Map<String, Route> byName = new HashMap<>();
        published.routes().forEach(route -> byName.put(route.name(), route));
        routesByName = byName;
        copies.setConfiguredServices(published.services());
        effects.add(new FleetEffect.ApplyClientLimits(published.limits()));
    }

    /**
     * Removes copies whose entries did not come back after the platform did, and forgets entries that were removed long
     * ago.
     */
    void passTime(long now) {
        copies.dropMissing(now).forEach((key, copy) -> {
            lapsed.add(now, copy);
            digest = UNKNOWN_DIGEST;
            updates.dropped(key, entries.asOf());
            logCopy(copy, GONE, entries.asOf(), PLATFORM);
        });
        entries.discardRemoved(now).forEach(updates::forget);
        reads.passTime(now);
    }

    private void changed(String key, Revision at) {
        digest = UNKNOWN_DIGEST;
        updates.changed(key, at);
    }

    /** Returns a digest of the state that this node uses, which two nodes can compare. */
    PublishedState published() {
        if (digest == UNKNOWN_DIGEST) {
            digest = PublishedState.digest(version(), copies.all().stream().map(Copy::record));
        }
        return new PublishedState(updates.position(), digest);
    }

    /**
     * Returns how many nodes may serve callers now: the nodes of copies of configured services, the reachable nodes of
     * other published copies, and nodes whose entries recently lapsed without a planned stop. An entry of an unrelated
     * writer names no node.
     */
    int nodeCount(long now, Predicate<NodeName> inTouch) {
        Set<String> hosts = new HashSet<>();
        copies.all().forEach(copy -> hosts.add(copy.node().value()));
        copies.allIncludingUnconfigured().stream()
                .map(Copy::node)
                .filter(inTouch)
                .forEach(node -> hosts.add(node.value()));
        return lapsed.countWith(now, hosts);
    }

    /** Notes that another node reported the same state. */
    void confirmed(long now) {
        confirmedNanos = now;
    }

    private void logCopy(Copy copy, String state, Revision at, String learnedFrom) {
        CopyRecord record = copy.record();
        effects.log(new Decision.CopyChanged(
                record.copy(), record.service(), record.address().toString(), state, at, learnedFrom));
    }
}
