package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.FleetConfiguration;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.CopyTable;
import org.carawaysill.policy.fleet.publication.ChangeLog;
import org.carawaysill.policy.fleet.publication.Eras;
import org.carawaysill.policy.fleet.publication.PlatformReads;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.PublicationDecoder.Publication;
import org.carawaysill.policy.fleet.publication.PublishedEntries;
import org.carawaysill.policy.fleet.route.RouteTable;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PublishedState;
import org.carawaysill.policy.time.Nanos;

/**
 * What this node believes of what is published: the configuration in force and the copies, from the platform or from
 * other nodes.
 *
 * <p>Invariants: the configuration's version never falls; an entry that can't be read changes nothing. Not thread safe:
 * owned by the policy.
 */
final class Beliefs {

    private static final long NOT_KNOWN = 0;

    /** Where a belief comes from that this node read itself. */
    private static final String PLATFORM = "platform";

    private static final String GONE = "gone";

    private final Effects effects;
    private final PublicationDecoder decoder;
    private final PublishedEntries entries = new PublishedEntries();
    private final CopyTable copies = new CopyTable();
    private final PlatformReads reads;
    private final Eras eras = new Eras();
    private final Map<String, PublishedEntry> decidedBy = new HashMap<>();
    private final ChangeLog changes = new ChangeLog();
    private final List<String> droppedLate = new ArrayList<>();
    private final LapsedNodes lapsed = new LapsedNodes();
    private Optional<FleetConfiguration> configuration = Optional.empty();
    private RouteTable routes = new RouteTable(List.of());
    private Map<String, Route> routesByName = Map.of();
    private long digest = NOT_KNOWN;
    private long confirmedNanos;

    Beliefs(long now, Duration drainLimit, PublicationDecoder decoder, RandomGenerator random, Effects effects) {
        this.decoder = decoder;
        this.effects = effects;
        reads = new PlatformReads(now, drainLimit, random);
        confirmedNanos = now;
    }

    Optional<FleetConfiguration> configuration() {
        return configuration;
    }

    /** Returns whether the platform, or another node that decides by the same, was heard of so lately. */
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

    CopyTable copies() {
        return copies;
    }

    boolean mayReadPlatform() {
        return reads.mayRead();
    }

    /** Notes that another node lately failed to read the platform. */
    void othersFailToRead(long now) {
        reads.othersFail(now);
    }

    void reader(long now, boolean forOthers) {
        reads.reader(now, forOthers);
    }

    long dueNanos() {
        return reads.dueNanos();
    }

    /** Reads everything soon, whoever else reads. */
    void readEverything(long now) {
        effects.log(new Decision.DependencyChanged(PLATFORM, "read_anew", "others decide by something else"));
        reads.everythingAt(now);
    }

    void startRead(long now) {
        effects.count(ConfigurationCount.READ);
        effects.add(reads.start(now, entries.asOf()));
    }

    void read(long now, FleetEvent.EntriesRead read) {
        confirmedNanos = now;
        if (reads.succeeded(now)) {
            effects.log(new Decision.DependencyChanged(PLATFORM, "readable", "as_of=" + read.asOf()));
        }
        noticeEra(read);
        List<PublishedEntry> newer = entries.merge(read.asOf(), read.complete(), read.entries());
        take(now, newer, reads.returnsUntilNanos(now), 0, PLATFORM);
    }

    private void noticeEra(FleetEvent.EntriesRead read) {
        Eras.Change change = eras.receive(read.era());
        if (read.era().isEmpty()) {
            effects.count(ConfigurationCount.ERA_UNREADABLE);
        } else if (change != Eras.Change.NONE) {
            effects.count(ConfigurationCount.ERA_CHANGED);
        }
        if (change != Eras.Change.NONE && change != Eras.Change.STAYS_UNREADABLE) {
            logEra(change, read);
        }
    }

    private void logEra(Eras.Change change, FleetEvent.EntriesRead read) {
        effects.log(new Decision.EraChanged(
                change, eras.current(), read.asOf(), entries.asOf(), entries.writtenAfter(read.asOf()), version()));
    }

    void readFailed(long now, FleetEvent.ReadFailure failure) {
        effects.count(ConfigurationCount.READ_FAILED);
        long waited = Nanos.toMillis(reads.waitingNanos(now));
        if (reads.failed(now, failure)) {
            effects.log(new Decision.DependencyChanged(
                    PLATFORM, "unreadable", "failure=" + failure + " after_ms=" + waited + " as_of=" + entries.asOf()));
        }
    }

    /**
     * Receives what another node knows. It has waited for entries that may come back, so that what it tells as removed is
     * gone.
     */
    void told(long now, NodeName from, PeerMessage.Entries told) {
        confirmedNanos = now;
        List<PublishedEntry> newer = entries.mergeTold(told.upTo(), told.complete(), told.entries());
        take(now, newer, now, told.upTo(), from.value());
        changes.caughtUp(told.upTo());
        if (configuration.isPresent()) {
            reads.told(now);
        }
    }

    /**
     * Returns what another node lacks. An entry that may be back soon is told as it was last: the other node may read the
     * platform without a gap and know better.
     *
     * @param since up to which revision the other node knows all changes
     */
    PeerMessage.Entries toldToOthers(long since) {
        boolean complete = !changes.remembers(since);
        List<PublishedEntry> lacking = changes.since(complete ? 0 : since).stream()
                .map(entries::find)
                .flatMap(Optional::stream)
                .map(entry -> copies.isMissing(entry.key()) ? decidedBy.getOrDefault(entry.key(), entry) : entry)
                .toList();
        return new PeerMessage.Entries(changes.revision(), complete, lacking);
    }

    long asOf() {
        return entries.asOf();
    }

    /** Receives entries; those told by another node count as changed as of when it told them. */
    private void take(long now, List<PublishedEntry> newer, long missingUntilNanos, long toldAsOf, String learnedFrom) {
        for (PublishedEntry entry : newer) {
            long asOf = Math.max(entry.revision(), toldAsOf);
            if (entry.text().isEmpty()) {
                remove(now, entry, missingUntilNanos, asOf, learnedFrom);
            } else {
                adopt(now, entry, entry.text().get(), asOf, learnedFrom);
            }
        }
    }

    private void remove(long now, PublishedEntry entry, long missingUntilNanos, long asOf, String learnedFrom) {
        copies.remove(now, entry.key(), missingUntilNanos).ifPresent(copy -> {
            lapsed.add(now, copy);
            gone(entry.key(), copy, asOf, learnedFrom);
        });
    }

    private void gone(String key, Copy copy, long atRevision, String learnedFrom) {
        changed(key, atRevision);
        logCopy(copy, GONE, atRevision, learnedFrom);
    }

    private void adopt(long now, PublishedEntry entry, String text, long asOf, String learnedFrom) {
        switch (decoder.decode(entry.key(), text)) {
            case Publication.Configured(FleetConfiguration published) ->
                adopt(entry.key(), published, asOf, learnedFrom);
            case Publication.Listed(CopyRecord record) -> {
                decidedBy.put(entry.key(), entry);
                copies.put(now, entry.key(), record, entry.revision()).ifPresent(copy -> {
                    changed(entry.key(), asOf);
                    String state = copy.isLeaving() ? "draining" : Decision.CopyChanged.READY;
                    logCopy(copy, state, entry.revision(), learnedFrom);
                });
            }
            case Publication.Irrelevant _ -> {}
            case Publication.Unreadable(String fault) -> {
                effects.count(ConfigurationCount.REFUSED);
                effects.log(new Decision.EntryRefused(entry.key(), entry.revision(), fault));
                // The last value that could be read holds no longer: nobody knows who is at that address now.
                copies.remove(now, entry.key(), now).ifPresent(copy -> gone(entry.key(), copy, asOf, learnedFrom));
            }
        }
    }

    private void adopt(String key, FleetConfiguration published, long atRevision, String learnedFrom) {
        if (published.version() <= version()) {
            effects.count(ConfigurationCount.STALE_READ);
            return;
        }
        effects.count(ConfigurationCount.ADOPTED);
        effects.log(new Decision.ConfigurationAdopted(
                published.version(), version(), published.routes().size(), atRevision, learnedFrom));
        changed(key, atRevision);
        configuration = Optional.of(published);
        routes = new RouteTable(published.routes());
        Map<String, Route> byName = new HashMap<>();
        published.routes().forEach(route -> byName.put(route.name(), route));
        routesByName = byName;
        copies.named(published.services());
        effects.add(new FleetEffect.LimitClients(published.limits()));
    }

    /** Drops what did not come back after the platform did, and forgets what was removed long ago. */
    void passTime(long now) {
        copies.dropMissing(now).forEach((key, copy) -> {
            lapsed.add(now, copy);
            digest = NOT_KNOWN;
            droppedLate.add(key);
            logCopy(copy, GONE, entries.asOf(), PLATFORM);
        });
        tellDroppedLate();
        entries.forgetRemoved(now).forEach(key -> {
            decidedBy.remove(key);
            changes.forget(key);
        });
    }

    /**
     * Others may know all changes up to a revision after that of the removal, since it was not told while the entry could
     * come back: they are told of it as of a newer one.
     */
    private void tellDroppedLate() {
        if (entries.asOf() > changes.revision()) {
            droppedLate.forEach(key -> changed(key, entries.asOf()));
            droppedLate.clear();
        }
    }

    private void changed(String key, long atRevision) {
        digest = NOT_KNOWN;
        changes.changed(key, atRevision);
    }

    /** What this node decides by, in a form in which two nodes can compare it. */
    PublishedState published() {
        if (digest == NOT_KNOWN) {
            digest = PublishedState.digest(version(), copies.all().stream().map(Copy::record));
        }
        return new PublishedState(changes.revision(), digest);
    }

    /** Returns how many nodes may serve callers now: the published ones, and those that lately lapsed without leaving. */
    int nodeCount(long now) {
        return lapsed.countWith(now, copies.hosts());
    }

    /** Notes that another node decides by the same, and knows all changes up to a revision. */
    void sameAs(long now, PublishedState theirs) {
        confirmedNanos = now;
        changes.caughtUp(theirs.revision());
    }

    private void logCopy(Copy copy, String state, long atRevision, String learnedFrom) {
        CopyRecord record = copy.record();
        effects.log(new Decision.CopyChanged(
                record.copy(), record.service(), record.address().toString(), state, atRevision, learnedFrom));
    }
}
