package org.carawaysill.model.fleet;

import java.util.Optional;

/**
 * One published entry as a node knows it and sends it to other nodes.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the key of the entry
 * @param revision the revision of its last write, or the revision as of which it is known to be valid
 * @param version its version in the order of its writer
 * @param text its value; empty if it was removed
 */
public record KnownEntry(String key, Revision revision, EntryVersion version, Optional<String> text) {

    /**
     * Returns whether this state of an entry replaces another one, independent of their sources and the order of their
     * arrival.
     *
     * @param known the other state, of the same key
     * @return whether it is newer: by revision within an era, by the order of its writer across eras
     */
    public boolean supersedes(KnownEntry known) {
        boolean comparable = revision.isSameEra(known.revision) && revision.number() != known.revision.number();
        return comparable ? revision.isAfter(known.revision) : version.compareTo(known.version) > 0;
    }

    /**
     * Returns the entry as present although it was known to be removed.
     *
     * @param at the revision as of which it is present
     * @param known the known version of the removal
     * @return the entry as if it had been written once more after that version
     */
    public KnownEntry restored(Revision at, EntryVersion known) {
        return new KnownEntry(key, at, new EntryVersion(known.start(), known.writeCount() + 1, version.stage()), text);
    }

    /**
     * Returns the entry as known to be valid at a later revision.
     *
     * @param later the later revision
     * @return the same entry at that revision
     */
    public KnownEntry asOf(Revision later) {
        return new KnownEntry(key, later, version, text);
    }

    /**
     * Returns the entry's removal.
     *
     * @param at the revision as of which it was removed
     * @return the removal of this state of the entry
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
