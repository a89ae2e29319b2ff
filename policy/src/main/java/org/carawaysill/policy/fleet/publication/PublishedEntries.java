package org.carawaysill.policy.fleet.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.carawaysill.model.fleet.EntryVersion;
import org.carawaysill.model.fleet.KnownEntry;
import org.carawaysill.model.fleet.Revision;

/**
 * The published entries that this node knows, from any source.
 *
 * <p>Within an era the platform numbers the revisions of all entries in one sequence; across eras the writers' own
 * versions decide. So entries from the platform and from other nodes can be merged in any order, also while the
 * platform serves an older state. Invariant: of two forms of an entry, the one that {@linkplain KnownEntry#supersedes
 * supersedes} the other is kept. Not thread safe: owned by the policy.
 */
public final class PublishedEntries {

    /**
     * How long the removal of an entry is remembered and sent to other nodes: longer than a node stays disconnected
     * from both the platform and the other nodes in any known case. Afterwards the memory, about 300 bytes for each
     * copy that left, is freed.
     */
    private static final Duration REMOVAL_RETENTION = Duration.ofMinutes(5);

    private static final long NOT_TIMED = Long.MAX_VALUE;

    private final Map<String, KnownEntry> entries = new HashMap<>();
    private final Map<String, Long> removedNanos = new HashMap<>();
    private Revision asOf = Revision.NONE;
    private Revision discardedUpTo = Revision.NONE;

    /**
     * Merges changes that the platform reported. In another era than that of the last read they do not continue it:
     * {@link #asOf} stays until everything is read.
     *
     * @param readRevision the revision up to which all changes are included
     * @param given the changes
     * @return the entries that replace known ones
     */
    public List<KnownEntry> mergeChanges(Revision readRevision, List<KnownEntry> given) {
        List<KnownEntry> newer = new ArrayList<>();
        given.forEach(entry -> acceptIfNewer(entry, newer));
        if (readRevision.isAfter(asOf)) {
            asOf = readRevision;
        }
        return newer;
    }

    /**
     * Merges a complete list of the platform's entries.
     *
     * <p>Guards against sending requests again to a copy that has left, because the platform was restored from an older
     * state that still contains it: an entry known as removed stays removed, unless the platform's state is trusted.
     *
     * @param readRevision the revision of the list
     * @param trusted whether a listed entry is valid although it is known as removed
     * @param given all entries
     * @return the entries that replace known ones, including removed ones
     */
    public List<KnownEntry> mergeAll(Revision readRevision, boolean trusted, List<KnownEntry> given) {
        List<KnownEntry> newer = new ArrayList<>();
        for (KnownEntry entry : given) {
            KnownEntry known = entries.get(entry.key());
            boolean restored = trusted && known != null && known.isRemoved() && isCoveredBy(readRevision, known);
            acceptIfNewer(restored ? entry.restored(readRevision.next(), known.version()) : entry, newer);
        }
        Set<String> shown = keys(given);
        removeMissing(shown, known -> isCoveredBy(readRevision, known), readRevision, newer);
        confirm(shown, readRevision);
        asOf = readRevision;
        return newer;
    }

    /**
     * Returns whether the platform lists an entry that is known as removed.
     *
     * @param shown the listed entries
     * @return whether this node still takes one of them for removed
     */
    public boolean listsRemovedEntry(List<KnownEntry> shown) {
        return shown.stream()
                .map(entry -> entries.get(entry.key()))
                .anyMatch(known -> known != null && known.isRemoved());
    }

    /**
     * Returns whether a read covers an entry: all of earlier eras up to its revision, and nothing of its own era that
     * was written later.
     */
    private static boolean isCoveredBy(Revision readRevision, KnownEntry known) {
        return !known.revision().isAfter(readRevision);
    }

    /** Moves the entries that a complete read confirms into the era of that read. */
    private void confirm(Set<String> shown, Revision readRevision) {
        entries.replaceAll(
                (key, known) -> !known.revision().isSameEra(readRevision) && (known.isRemoved() || shown.contains(key))
                        ? known.asOf(readRevision)
                        : known);
    }

    /**
     * Merges entries that another node sent. This does not advance {@link #asOf}: the other node may withhold removals
     * that it does not trust yet, and the platform must report them to this node.
     *
     * @param upTo the revision as of which they were sent
     * @param complete whether entries that are not included don't exist
     * @param given the entries
     * @return the entries that replace known ones, including removed ones
     */
    public List<KnownEntry> mergeReceived(Revision upTo, boolean complete, List<KnownEntry> given) {
        List<KnownEntry> newer = new ArrayList<>();
        for (KnownEntry entry : given) {
            if (entry.isRemoved() || entries.containsKey(entry.key()) || !isDiscarded(entry.revision())) {
                acceptIfNewer(entry, newer);
            }
        }
        if (complete) {
            removeMissing(
                    keys(given), known -> known.revision().isSameEra(upTo) && isCoveredBy(upTo, known), upTo, newer);
        }
        return newer;
    }

    /**
     * Returns whether an unknown entry was removed and its removal discarded here. Guards against restoring a copy that
     * is gone, which shows as requests to an address that another service uses by now: a node that was disconnected for
     * long still sends its entry. Everything up to {@link #asOf}, and up to the last discarded removal, is known, so an
     * unknown entry that is not newer was removed.
     */
    private boolean isDiscarded(Revision revision) {
        return revision.isSameEra(asOf) && !revision.isAfter(asOf)
                || revision.isSameEra(discardedUpTo) && !revision.isAfter(discardedUpTo);
    }

    private void acceptIfNewer(KnownEntry entry, List<KnownEntry> newer) {
        KnownEntry known = entries.get(entry.key());
        if (known == null || entry.supersedes(known)) {
            entries.put(entry.key(), entry);
            newer.add(entry);
            if (entry.isRemoved()) {
                removedNanos.put(entry.key(), NOT_TIMED);
            } else {
                removedNanos.remove(entry.key());
            }
        }
    }

    private static Set<String> keys(List<KnownEntry> given) {
        Set<String> keys = new HashSet<>();
        given.forEach(entry -> keys.add(entry.key()));
        return keys;
    }

    private void removeMissing(Set<String> shown, Predicate<KnownEntry> covered, Revision at, List<KnownEntry> newer) {
        for (KnownEntry known : List.copyOf(entries.values())) {
            if (!known.isRemoved() && !shown.contains(known.key()) && covered.test(known)) {
                acceptIfNewer(known.removed(at), newer);
            }
        }
    }

    /**
     * Returns the revision up to which the platform reported everything.
     *
     * @return the revision, {@link Revision#NONE} before the first read
     */
    public Revision asOf() {
        return asOf;
    }

    /**
     * Returns the position of an entry in the order of its writer, as far as it is known.
     *
     * @param key the entry's key
     * @return the version, {@link EntryVersion#NONE} for an unknown entry
     */
    public EntryVersion version(String key) {
        KnownEntry known = entries.get(key);
        return known == null ? EntryVersion.NONE : known.version();
    }

    /**
     * Counts the known entries that are newer than the state from which the platform was restored.
     *
     * @param restoredAsOf the revision of that state
     * @return the number of entries that were written in an earlier era after that revision
     */
    public int writtenAfter(Revision restoredAsOf) {
        return (int) entries.values().stream()
                .filter(entry -> !entry.revision().isSameEra(restoredAsOf))
                .filter(entry -> entry.revision().number() > restoredAsOf.number())
                .count();
    }

    /**
     * Finds an entry.
     *
     * @param key its key
     * @return the entry, also a removed one while its removal is remembered
     */
    public Optional<KnownEntry> find(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Discards the entries whose removal was remembered for long enough.
     *
     * @param now the monotonic time
     * @return the keys of the discarded entries
     */
    public List<String> discardRemoved(long now) {
        removedNanos.replaceAll((_, since) -> since == NOT_TIMED ? now : since);
        List<String> old = removedNanos.entrySet().stream()
                .filter(removed -> now - removed.getValue() > REMOVAL_RETENTION.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        for (String key : old) {
            discardedUpTo = discardedUpTo.newest(entries.remove(key).revision());
        }
        old.forEach(removedNanos::remove);
        return old;
    }
}
