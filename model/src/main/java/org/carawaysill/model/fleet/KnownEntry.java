package org.carawaysill.model.fleet;

import java.util.Optional;

/**
 * One published entry as a node knows it and tells it to others.
 *
 * <p>Immutable and thread safe.
 *
 * @param key what the entry is about
 * @param revision when it was written last, or the point as of which it is known to hold
 * @param version its place in the order of its writer
 * @param text its value; empty where it was removed
 */
public record KnownEntry(String key, Revision revision, EntryVersion version, Optional<String> text) {

    /**
     * Returns whether this form of an entry replaces another one, whoever told them and in whichever order.
     *
     * @param known the other form, of the same key
     * @return by revision within an era, by the order of its writer across eras
     */
    public boolean supersedes(KnownEntry known) {
        boolean comparable = revision.isSameEra(known.revision) && revision.number() != known.revision.number();
        return comparable ? revision.isAfter(known.revision) : version.compareTo(known.version) > 0;
    }

    /**
     * Returns the entry as one that is there although it was known to be removed.
     *
     * @param at as of which it is there
     * @param known the version that was known
     * @return the entry as if it had been written once more behind that version
     */
    public KnownEntry restored(Revision at, EntryVersion known) {
        return new KnownEntry(key, at, new EntryVersion(known.start(), known.write() + 1, version.stage()), text);
    }

    /**
     * Returns the entry as known to hold at a later point.
     *
     * @param later the point
     * @return the same entry at that revision
     */
    public KnownEntry asOf(Revision later) {
        return new KnownEntry(key, later, version, text);
    }

    /**
     * Returns the entry's removal.
     *
     * @param at as of which it was removed
     * @return the removal of this form of the entry
     */
    public KnownEntry removed(Revision at) {
        return new KnownEntry(key, at, version.removed(), Optional.empty());
    }

    /**
     * Returns whether the entry was removed.
     *
     * @return whether it has no value
     */
    public boolean isRemoved() {
        return text.isEmpty();
    }
}
