package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.FleetConfiguration;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.CopyTable;
import org.carawaysill.policy.fleet.publication.PlatformReads;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.PublicationDecoder.Publication;
import org.carawaysill.policy.fleet.publication.PublishedEntries;
import org.carawaysill.policy.fleet.route.RouteTable;
import org.carawaysill.policy.time.Nanos;

/**
 * What this node believes of what is published: the configuration in force and the copies, from the platform or from
 * other nodes.
 *
 * <p>Invariants: the configuration's version never falls; an entry that can't be read changes nothing. Not thread safe:
 * owned by the policy.
 */
final class Beliefs {

    private final Effects effects;
    private final PublicationDecoder decoder;
    private final PublishedEntries entries = new PublishedEntries();
    private final CopyTable copies = new CopyTable();
    private final PlatformReads reads;
    private final Map<String, PublishedEntry> decidedBy = new HashMap<>();
    private Optional<FleetConfiguration> configuration = Optional.empty();
    private RouteTable routes = new RouteTable(List.of());
    private Map<String, Route> routesByName = Map.of();
    private long revision;

    Beliefs(long now, Duration drainLimit, PublicationDecoder decoder, RandomGenerator random, Effects effects) {
        this.decoder = decoder;
        this.effects = effects;
        reads = new PlatformReads(now, drainLimit, random);
    }

    Optional<FleetConfiguration> configuration() {
        return configuration;
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

    /** The newest revision of an entry that says more than that a copy lives. */
    long revision() {
        return revision;
    }

    boolean readsPlatform() {
        return reads.readable();
    }

    void reader(long now, boolean forOthers) {
        reads.reader(now, forOthers);
    }

    long dueNanos() {
        return reads.dueNanos();
    }

    void startRead(long now) {
        effects.count(ConfigurationCount.READ);
        effects.add(reads.start(now, entries.asOf()));
    }

    void read(long now, FleetEvent.EntriesRead read) {
        if (reads.succeeded(now)) {
            effects.log(new Decision.DependencyChanged("platform", "readable", "as_of=" + read.asOf()));
        }
        take(now, entries.merge(read.asOf(), read.complete(), read.entries()));
    }

    void readFailed(long now, FleetEvent.ReadFailure failure) {
        effects.count(ConfigurationCount.READ_FAILED);
        long waited = Nanos.toMillis(reads.waitingNanos(now));
        if (reads.failed(now, failure)) {
            effects.log(new Decision.DependencyChanged(
                    "platform",
                    "unreadable",
                    "failure=" + failure + " after_ms=" + waited + " as_of=" + entries.asOf()));
        }
    }

    /** Takes in what another node knows. */
    void told(long now, List<PublishedEntry> given) {
        take(now, entries.mergeTold(given));
    }

    /**
     * Gives what another node is told. An entry that may be back soon is told as it was last: the other node may read the
     * platform without a gap and know better.
     */
    List<PublishedEntry> toldToOthers() {
        return entries.all().stream()
                .map(entry -> copies.isMissing(entry.key()) ? decidedBy.getOrDefault(entry.key(), entry) : entry)
                .toList();
    }

    long asOf() {
        return entries.asOf();
    }

    private void take(long now, List<PublishedEntry> newer) {
        for (PublishedEntry entry : newer) {
            if (entry.text().isEmpty()) {
                remove(now, entry);
            } else {
                adopt(now, entry, entry.text().get());
            }
        }
    }

    private void remove(long now, PublishedEntry entry) {
        copies.remove(now, entry.key(), reads.returnsUntilNanos(now)).ifPresent(copy -> gone(copy, entry.revision()));
    }

    private void gone(Copy copy, long atRevision) {
        revision = Math.max(revision, atRevision);
        logCopy(copy, "gone", atRevision);
    }

    private void adopt(long now, PublishedEntry entry, String text) {
        switch (decoder.decode(entry.key(), text)) {
            case Publication.Configured(FleetConfiguration published) -> adopt(published, entry.revision());
            case Publication.Listed(CopyRecord record) -> {
                decidedBy.put(entry.key(), entry);
                copies.put(now, entry.key(), record, entry.revision()).ifPresent(copy -> {
                    revision = Math.max(revision, entry.revision());
                    logCopy(copy, copy.isLeaving() ? "draining" : "ready", entry.revision());
                });
            }
            case Publication.Irrelevant _ -> {}
            case Publication.Unreadable(String fault) -> {
                effects.count(ConfigurationCount.REFUSED);
                effects.log(new Decision.EntryRefused(entry.key(), entry.revision(), fault));
                // The last value that could be read holds no longer: nobody knows who is at that address now.
                copies.remove(now, entry.key(), now).ifPresent(copy -> gone(copy, entry.revision()));
            }
        }
    }

    private void adopt(FleetConfiguration published, long atRevision) {
        if (published.version() <= version()) {
            effects.count(ConfigurationCount.STALE_READ);
            return;
        }
        effects.count(ConfigurationCount.ADOPTED);
        effects.log(new Decision.ConfigurationAdopted(
                published.version(), version(), published.routes().size(), atRevision));
        revision = Math.max(revision, atRevision);
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
        copies.dropMissing(now).forEach(copy -> gone(copy, revision));
        entries.forgetRemoved(now).forEach(decidedBy::remove);
    }

    private void logCopy(Copy copy, String state, long atRevision) {
        CopyRecord record = copy.record();
        effects.log(new Decision.CopyChanged(
                record.copy(), record.service(), record.address().toString(), state, atRevision));
    }
}
