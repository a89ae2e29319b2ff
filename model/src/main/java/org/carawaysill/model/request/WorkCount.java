package org.carawaysill.model.request;

/**
 * What the division of the copy's slots between short and long work led to; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum WorkCount implements Counted {
    /** A request arrived with less time left than its route recently took at least, and was refused at once. */
    HOPELESS_ON_ARRIVAL,
    /** A request that waited had less time left than its route recently took at least, and was refused before its time. */
    HOPELESS_IN_QUEUE,
    /** A long request waits although a slot is free, which short work will need. */
    LONG_HELD_BACK;

    @Override
    public String family() {
        return "work_class";
    }
}
