package org.carawaysill.policy.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.fleet.EntryVersion;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.PublishedEntry;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.request.ConfigurationCount;
import org.carawaysill.policy.fleet.publication.Eras;
import org.carawaysill.policy.fleet.publication.PlatformReads;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.fleet.publication.PublicationDecoder.Publication;
import org.carawaysill.policy.fleet.publication.PublishedEntries;

/**
 * Determines what an answer of the platform changes in the known entries, and whether it continues the previous
 * answers.
 *
 * <p>Invariant: an answer of another era than the previous one is not a continuation, and is followed by a full read.
 * Not thread safe: owned by the policy.
 */
final class ReadAnswers {

    private final Effects effects;
    private final PublicationDecoder decoder;
    private final PublishedEntries entries;
    private final PlatformReads reads;
    private final Eras eras = new Eras();

    /**
     * The entries that replace known ones.
     *
     * @param entries the entries, in the platform's order
     * @param meanings the decoded entries of the answer, including those that replace nothing
     */
    record NewerEntries(List<KnownEntry> entries, Map<KnownEntry, Publication> meanings) {}

    ReadAnswers(Effects effects, PublicationDecoder decoder, PublishedEntries entries, PlatformReads reads) {
        this.effects = effects;
        this.decoder = decoder;
        this.entries = entries;
        this.reads = reads;
    }

    /**
     * Receives an answer.
     *
     * @param othersRevision the revision up to which other nodes have sent all changes
     * @param version the configuration in force
     */
    NewerEntries receive(long now, FleetEvent.EntriesRead read, Revision othersRevision, long version) {
        updateEra(read, version);
        Revision asOf = new Revision(eras.current(), read.asOf());
        if (reads.succeeded(now, isOfAnotherEra(asOf, othersRevision))) {
            effects.log(new Decision.DependencyChanged(PublishedView.PLATFORM, "readable", describe(asOf)));
        }
        boolean continues = read.complete() || asOf.isSameEra(entries.asOf());
        Map<KnownEntry, Publication> meanings = decode(read.entries());
        List<KnownEntry> newer = merge(now, asOf, read.complete(), List.copyOf(meanings.keySet()));
        if (!continues) {
            reads.scheduleCompleteRead(now);
        }
        reads.setCompleteReads(eras.isUnreadable());
        return new NewerEntries(newer, meanings);
    }

    /** Receives the era of entries that another node sent. */
    void eraReceived(long era) {
        eras.receiveFromNode(era);
    }

    static String describe(Revision asOf) {
        return "as_of=" + asOf.number() + " era=" + asOf.era();
    }

    private void updateEra(FleetEvent.EntriesRead read, long version) {
        Eras.Change change = eras.receive(read.era());
        if (read.era().isEmpty()) {
            effects.count(ConfigurationCount.ERA_UNREADABLE);
        } else if (change != Eras.Change.NONE) {
            effects.count(ConfigurationCount.ERA_CHANGED);
        }
        if (change != Eras.Change.NONE && change != Eras.Change.STAYS_UNREADABLE) {
            Revision asOf = new Revision(eras.current(), read.asOf());
            int beyond = entries.writtenAfter(asOf);
            effects.log(new Decision.EraChanged(change, asOf, entries.asOf(), beyond, version));
        }
    }

    /** Returns whether the known entries, from the last answer or else from other nodes, are of another era. */
    private boolean isOfAnotherEra(Revision asOf, Revision othersRevision) {
        Revision known = entries.asOf().equals(Revision.NONE) ? othersRevision : entries.asOf();
        return !known.equals(Revision.NONE) && known.era() != asOf.era();
    }

    private List<KnownEntry> merge(long now, Revision asOf, boolean complete, List<KnownEntry> given) {
        if (!complete) {
            return entries.mergeChanges(asOf, given);
        }
        boolean trusted = reads.isStateTrusted(now) && !eras.isUnreadable();
        List<KnownEntry> newer = entries.mergeAll(asOf, trusted, given);
        if (entries.listsRemovedEntry(given)) {
            reads.scheduleCompleteReadOnceTrusted(now);
        }
        return newer;
    }

    /**
     * Decodes the entries of the platform in its order; a removal has the version of the last form known or read before
     * it.
     */
    private Map<KnownEntry, Publication> decode(List<PublishedEntry> given) {
        Map<KnownEntry, Publication> meanings = new LinkedHashMap<>();
        Map<String, EntryVersion> latest = new HashMap<>();
        for (PublishedEntry entry : given) {
            Publication meaning =
                    entry.text().map(text -> decoder.decode(entry.key(), text)).orElseGet(Publication.Irrelevant::new);
            EntryVersion last = latest.computeIfAbsent(entry.key(), entries::version);
            EntryVersion version = entry.text().isPresent() ? meaning.version() : last.removed();
            latest.put(entry.key(), version.compareTo(last) > 0 ? version : last);
            Revision revision = new Revision(eras.current(), entry.revision());
            meanings.put(new KnownEntry(entry.key(), revision, version, entry.text()), meaning);
        }
        return meanings;
    }
}
