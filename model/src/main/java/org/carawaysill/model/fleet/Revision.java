package org.carawaysill.model.fleet;

import java.util.Comparator;

/**
 * A point in one of the platform's histories of writes.
 *
 * <p>Invariant: within one era, of two writes the one with the greater number came later. Numbers of different eras are
 * not comparable: the platform was restored to an older state between them and assigned some of its numbers again.
 * The order by era only serves to select a newest revision. Immutable and thread safe.
 *
 * @param era the number of the history, from 0, or {@link #UNKNOWN_ERA}
 * @param number the platform's own count of writes, from 0
 */
public record Revision(long era, long number) implements Comparable<Revision> {

    /** The era of answers that don't state theirs; such a revision is comparable with no other one. */
    public static final long UNKNOWN_ERA = -1;

    /** Before every write. */
    public static final Revision NONE = new Revision(0, 0);

    private static final Comparator<Revision> ORDER =
            Comparator.comparingLong(Revision::era).thenComparingLong(Revision::number);

    public Revision {
        if (era < UNKNOWN_ERA || number < 0) {
            throw new IllegalArgumentException("the era must be at least -1 and the number at least 0");
        }
    }

    /**
     * Returns whether the numbers of two revisions can be compared.
     *
     * @param other the other revision
     * @return whether both belong to the same known history
     */
    public boolean isSameEra(Revision other) {
        return era == other.era && era != UNKNOWN_ERA;
    }

    /**
     * Returns whether this revision is known to be later than another one.
     *
     * @param other the other revision
     * @return whether it is later in the same history
     */
    public boolean isAfter(Revision other) {
        return isSameEra(other) && number > other.number;
    }

    /**
     * Returns the revision of the later era, or the later one if the eras are equal.
     *
     * @param other the other revision
     * @return this or the other
     */
    public Revision newest(Revision other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /**
     * Returns the revision after this one.
     *
     * @return the next number of the same era
     */
    public Revision next() {
        return new Revision(era, number + 1);
    }

    @Override
    public int compareTo(Revision other) {
        return ORDER.compare(this, other);
    }
}
