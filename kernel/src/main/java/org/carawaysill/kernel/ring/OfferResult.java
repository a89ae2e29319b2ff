package org.carawaysill.kernel.ring;

/** The result of offering an item to a {@link BoundedRing}. Immutable and thread safe. */
public enum OfferResult {
    /** The ring holds the item. */
    ACCEPTED,
    /** The ring was full; the item was not added. */
    FULL
}
