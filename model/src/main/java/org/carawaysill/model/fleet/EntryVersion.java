package org.carawaysill.model.fleet;

import java.util.Comparator;

/**
 * The version of a published entry in the order of its own writer's writes.
 *
 * <p>Unlike a revision, it remains valid when the platform is restored to an older state: of two states of one
 * entry, the one with the greater version was written later. Immutable and thread safe.
 *
 * @param start when the writer started, in milliseconds since 1970; 0 if irrelevant or not stated
 * @param writeCount the writer's own count of writes since then; 0 if it keeps no count
 * @param stage the stage of the entry, which orders writes that are not counted
 */
public record EntryVersion(long start, long writeCount, Stage stage) implements Comparable<EntryVersion> {

    /** Before every written version. */
    public static final EntryVersion NONE = new EntryVersion(0, 0, Stage.PRESENT);

    private static final Comparator<EntryVersion> ORDER = Comparator.comparingLong(EntryVersion::start)
            .thenComparingLong(EntryVersion::writeCount)
            .thenComparing(EntryVersion::stage);

    /** The stages of an entry; an entry returns to an earlier stage only by a new write. */
    public enum Stage {
        /** The entry is present. */
        PRESENT,
        /** The entry states that its writer is leaving. */
        LEAVING,
        /** The entry was removed. */
        REMOVED
    }

    /**
     * Returns the version of the entry's removal.
     *
     * @return the same write with the stage removed
     */
    public EntryVersion removed() {
        return new EntryVersion(start, writeCount, Stage.REMOVED);
    }

    @Override
    public int compareTo(EntryVersion other) {
        return ORDER.compare(this, other);
    }
}
