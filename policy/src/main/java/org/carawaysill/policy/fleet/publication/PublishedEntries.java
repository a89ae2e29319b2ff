package org.carawaysill.policy.fleet.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.fleet.PublishedEntry;

/**
 * The published entries that this node knows, whoever told it.
 *
 * <p>The platform counts one revision up over all entries, so that of two versions of an entry the newer one is known
 * without a clock, and entries from the platform and from other nodes merge in any order. Invariant: an entry's revision
 * never falls, and neither does {@link #asOf}. Not thread safe: owned by the policy.
 */
public final class PublishedEntries {

    /**
     * How long others are told that an entry was removed: longer than a node stays cut off from both the platform and the
     * others on any known occasion. After that the memory for it is given back, about 300 bytes for each copy that left.
     */
    private static final Duration REMOVAL_TOLD = Duration.ofMinutes(5);

    private static final long NOT_SEEN = Long.MAX_VALUE;

    private final Map<String, PublishedEntry> entries = new HashMap<>();
    private final Map<String, Long> removedNanos = new HashMap<>();
    private long asOf;
    private long forgottenUpTo;

    /**
     * Receives what the platform gave.
     *
     * @param givenAsOf all that was published up to this revision has been told
     * @param complete whether entries that are not given don't exist
     * @param given the entries
     * @return those that are newer than what was known, removed ones with an empty text
     */
    public List<PublishedEntry> merge(long givenAsOf, boolean complete, List<PublishedEntry> given) {
        List<PublishedEntry> newer = new ArrayList<>();
        for (PublishedEntry entry : given) {
            takeIfNewer(entry, newer);
        }
        if (complete) {
            removeMissing(givenAsOf, given, newer);
        }
        asOf = Math.max(asOf, givenAsOf);
        return newer;
    }

    /**
     * Receives what another node told. It does not say up to which revision everything is known: the other node holds
     * back removals that it does not trust yet, and the platform is to tell them here.
     *
     * <p>Guards against a copy that comes back from the dead, which shows as requests to an address that another service
     * has by now: a node that was cut off for long still tells an entry whose removal is forgotten here. All up to
     * {@link #asOf}, and up to the last removal that was forgotten, is known, so what is unknown and not newer was removed.
     *
     * @param upTo the revision as of which they were told
     * @param complete whether entries that are not given don't exist
     * @param given the entries
     * @return those that are newer than what was known, removed ones with an empty text
     */
    public List<PublishedEntry> mergeTold(long upTo, boolean complete, List<PublishedEntry> given) {
        List<PublishedEntry> newer = new ArrayList<>();
        for (PublishedEntry entry : given) {
            if (entries.containsKey(entry.key()) || entry.revision() > Math.max(asOf, forgottenUpTo)) {
                takeIfNewer(entry, newer);
            }
        }
        if (complete) {
            removeMissing(upTo, given, newer);
        }
        return newer;
    }

    private void takeIfNewer(PublishedEntry entry, List<PublishedEntry> newer) {
        PublishedEntry known = entries.get(entry.key());
        if (known == null || known.revision() < entry.revision()) {
            entries.put(entry.key(), entry);
            newer.add(entry);
            if (entry.text().isEmpty()) {
                removedNanos.put(entry.key(), NOT_SEEN);
            } else {
                removedNanos.remove(entry.key());
            }
        }
    }

    /** An entry that a complete answer does not hold was removed, unless it was written after that answer. */
    private void removeMissing(long givenAsOf, List<PublishedEntry> given, List<PublishedEntry> newer) {
        Set<String> present = new HashSet<>();
        given.forEach(entry -> present.add(entry.key()));
        for (PublishedEntry known : List.copyOf(entries.values())) {
            if (known.text().isPresent() && known.revision() <= givenAsOf && !present.contains(known.key())) {
                takeIfNewer(new PublishedEntry(known.key(), givenAsOf, Optional.empty()), newer);
            }
        }
    }

    /**
     * Tells up to which revision the platform told everything.
     *
     * @return the revision, 0 before the first read
     */
    public long asOf() {
        return asOf;
    }

    /**
     * Counts the entries that are known in a form written after a revision.
     *
     * @param revision the revision
     * @return how many there are
     */
    public int writtenAfter(long revision) {
        return (int) entries.values().stream()
                .filter(entry -> entry.revision() > revision)
                .count();
    }

    /**
     * Finds an entry.
     *
     * @param key its key
     * @return the entry, also one that was removed, as long as that is remembered
     */
    public Optional<PublishedEntry> find(String key) {
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
            forgottenUpTo = Math.max(forgottenUpTo, entries.remove(key).revision());
        }
        old.forEach(removedNanos::remove);
        return old;
    }
}
