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
 * The published entries that this node knows, whoever told it.
 *
 * <p>Within an era the platform counts one revision up over all entries; across eras the writers' own order decides. So
 * entries from the platform and from other nodes merge in any order, also while the platform shows an older copy. Invariant:
 * of two forms of an entry, the one that {@linkplain KnownEntry#supersedes supersedes} the other stays. Not thread safe: owned
 * by the policy.
 */
public final class PublishedEntries {

    /**
     * How long others are told that an entry was removed: longer than a node stays cut off from both the platform and the
     * others on any known occasion. After that the memory for it is given back, about 300 bytes for each copy that left.
     */
    private static final Duration REMOVAL_TOLD = Duration.ofMinutes(5);

    private static final long NOT_SEEN = Long.MAX_VALUE;

    private final Map<String, KnownEntry> entries = new HashMap<>();
    private final Map<String, Long> removedNanos = new HashMap<>();
    private Revision asOf = Revision.NONE;
    private Revision forgottenUpTo = Revision.NONE;

    /**
     * Receives changes that the platform gave. In an era other than that of the last read they are no continuation of it:
     * {@link #asOf} stays until everything is read.
     *
     * @param givenAsOf all changes up to this revision have been given
     * @param given the changes
     * @return those that replace what was known
     */
    public List<KnownEntry> mergeChanges(Revision givenAsOf, List<KnownEntry> given) {
        List<KnownEntry> newer = new ArrayList<>();
        given.forEach(entry -> acceptIfNewer(entry, newer));
        if (givenAsOf.isAfter(asOf)) {
            asOf = givenAsOf;
        }
        return newer;
    }

    /**
     * Receives all that the platform holds.
     *
     * <p>Guards against a copy that has left and gets work again, since the platform came back from a copy that still shows it:
     * what is known to be removed stays so, unless the platform is trusted to show what holds.
     *
     * @param givenAsOf as of when
     * @param trusted whether an entry that is there holds although it is known to be removed
     * @param given all entries
     * @return those that replace what was known, removed ones among them
     */
    public List<KnownEntry> mergeAll(Revision givenAsOf, boolean trusted, List<KnownEntry> given) {
        List<KnownEntry> newer = new ArrayList<>();
        for (KnownEntry entry : given) {
            KnownEntry known = entries.get(entry.key());
            boolean restored = trusted && known != null && known.isRemoved() && isCoveredBy(givenAsOf, known);
            acceptIfNewer(restored ? entry.restored(givenAsOf.next(), known.version()) : entry, newer);
        }
        Set<String> shown = keys(given);
        removeMissing(shown, known -> isCoveredBy(givenAsOf, known), givenAsOf, newer);
        confirm(shown, givenAsOf);
        asOf = givenAsOf;
        return newer;
    }

    /**
     * Returns whether the platform shows an entry that is known to be removed.
     *
     * @param shown what the platform shows
     * @return whether this node goes on taking one of them for removed
     */
    public boolean contradicts(List<KnownEntry> shown) {
        return shown.stream()
                .map(entry -> entries.get(entry.key()))
                .anyMatch(known -> known != null && known.isRemoved());
    }

    /** Everything of an earlier era that was written by then, and nothing of this one that was written later. */
    private static boolean isCoveredBy(Revision givenAsOf, KnownEntry known) {
        return !known.revision().isAfter(givenAsOf);
    }

    /** Takes over into the era of a whole read what it leaves as it was known. */
    private void confirm(Set<String> shown, Revision givenAsOf) {
        entries.replaceAll(
                (key, known) -> !known.revision().isSameEra(givenAsOf) && (known.isRemoved() || shown.contains(key))
                        ? known.asOf(givenAsOf)
                        : known);
    }

    /**
     * Receives what another node told. It does not say up to which revision everything is known: the other node holds
     * back removals that it does not trust yet, and the platform is to tell them here.
     *
     * @param upTo the revision as of which they were told
     * @param complete whether entries that are not given don't exist
     * @param given the entries
     * @return those that replace what was known, removed ones among them
     */
    public List<KnownEntry> mergeTold(Revision upTo, boolean complete, List<KnownEntry> given) {
        List<KnownEntry> newer = new ArrayList<>();
        for (KnownEntry entry : given) {
            if (entries.containsKey(entry.key()) || !isForgotten(entry.revision())) {
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
     * Guards against a copy that comes back from the dead, which shows as requests to an address that another service
     * has by now: a node that was cut off for long still tells an entry whose removal is forgotten here. All up to
     * {@link #asOf}, and up to the last removal that was forgotten, is known, so what is unknown and not newer was removed.
     */
    private boolean isForgotten(Revision revision) {
        return revision.isSameEra(asOf) && !revision.isAfter(asOf)
                || revision.isSameEra(forgottenUpTo) && !revision.isAfter(forgottenUpTo);
    }

    private void acceptIfNewer(KnownEntry entry, List<KnownEntry> newer) {
        KnownEntry known = entries.get(entry.key());
        if (known == null || entry.supersedes(known)) {
            entries.put(entry.key(), entry);
            newer.add(entry);
            if (entry.isRemoved()) {
                removedNanos.put(entry.key(), NOT_SEEN);
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
     * Tells up to which revision the platform told everything.
     *
     * @return the revision, {@link Revision#NONE} before the first read
     */
    public Revision asOf() {
        return asOf;
    }

    /**
     * Returns the place of an entry in the order of its writer, as far as it is known.
     *
     * @param key the entry's key
     * @return the version, {@link EntryVersion#NONE} of an entry that is not known
     */
    public EntryVersion version(String key) {
        KnownEntry known = entries.get(key);
        return known == null ? EntryVersion.NONE : known.version();
    }

    /**
     * Counts the entries that are known in a form that a copy of the platform does not have.
     *
     * @param copyAsOf the revision at which the platform came back
     * @return how many were written in an earlier era after that revision
     */
    public int writtenAfter(Revision copyAsOf) {
        return (int) entries.values().stream()
                .filter(entry -> !entry.revision().isSameEra(copyAsOf))
                .filter(entry -> entry.revision().number() > copyAsOf.number())
                .count();
    }

    /**
     * Finds an entry.
     *
     * @param key its key
     * @return the entry, also one that was removed, as long as that is remembered
     */
    public Optional<KnownEntry> find(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Forgets the entries whose removal was told to others for long enough.
     *
     * @param now the monotonic time
     * @return the keys of what was forgotten
     */
    public List<String> forgetRemoved(long now) {
        removedNanos.replaceAll((_, since) -> since == NOT_SEEN ? now : since);
        List<String> old = removedNanos.entrySet().stream()
                .filter(removed -> now - removed.getValue() > REMOVAL_TOLD.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        for (String key : old) {
            forgottenUpTo = forgottenUpTo.newest(entries.remove(key).revision());
        }
        old.forEach(removedNanos::remove);
        return old;
    }
}
