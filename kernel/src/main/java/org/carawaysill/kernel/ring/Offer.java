package org.carawaysill.kernel.ring;

/** What became of an item offered to a {@link BoundedRing}. Immutable and thread safe. */
public enum Offer {
    /** The ring holds the item. */
    ACCEPTED,
    /** The ring had no room; the item stays with who offered it. */
    FULL
}
