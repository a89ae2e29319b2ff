package org.carawaysill.node.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * The memory that all clients together make the node hold.
 *
 * <p>Invariants: no holder has less than nothing; all together never hold more than the limit, and bodies no more than
 * theirs, so that other requests are served beside large ones. Not thread safe: confined to the event loop.
 */
public final class MemoryAccount {

    /** The part of the limit beyond which large requests are refused, so that small ones still find room. */
    private static final double LARGE_PART = 0.75;

    /** The part of the limit from which each client may have only one request open. */
    private static final double PRESSURE_PART = 0.5;

    private final long limit;
    private final long bodyLimit;
    private final Map<Holder, Long> held = new EnumMap<>(Holder.class);
    private long total;
    private long peak;

    /**
     * Creates an account in which nothing is held.
     *
     * @param limitBytes the maximum of all holders together
     * @param bodyLimitBytes the maximum of bodies of requests
     */
    public MemoryAccount(long limitBytes, long bodyLimitBytes) {
        limit = limitBytes;
        bodyLimit = bodyLimitBytes;
        for (Holder holder : Holder.values()) {
            held.put(holder, 0L);
        }
    }

    /**
     * Creates a reservation of no bytes.
     *
     * @param holder what it is for
     * @return the reservation
     */
    public Reservation reservation(Holder holder) {
        return new Reservation(this, holder);
    }

    /** Changes what a holder has; returns false, and changes nothing, if there is no room for that. */
    boolean change(Holder holder, long added) {
        if (added > 0 && !hasRoom(holder, added)) {
            return false;
        }
        held.merge(holder, added, Long::sum);
        total += added;
        peak = Math.max(peak, total);
        return true;
    }

    /**
     * Returns whether more could be held now.
     *
     * @param holder what would hold it
     * @param added how many bytes more
     * @return whether there is room for them
     */
    public boolean hasRoom(Holder holder, long added) {
        return total + added <= limit && (holder != Holder.BODIES || held(holder) + added <= bodyLimit);
    }

    /**
     * Returns whether there is room for a large request, beside which small ones must still find some.
     *
     * @param added its size in bytes
     * @return whether there is
     */
    public boolean hasRoomForLarge(long added) {
        return total + added <= limit * LARGE_PART;
    }

    /**
     * Returns whether so much is held that each client should wait for the answer to its last request.
     *
     * @return whether it is
     */
    public boolean isUnderPressure() {
        return total > limit * PRESSURE_PART;
    }

    /**
     * Returns what one kind of holder has.
     *
     * @param holder the kind
     * @return the number of bytes
     */
    public long held(Holder holder) {
        return held.get(holder);
    }

    /**
     * Returns what all holders have.
     *
     * @return the number of bytes
     */
    public long held() {
        return total;
    }

    /**
     * Returns the most that all holders have had together.
     *
     * @return the number of bytes
     */
    public long peak() {
        return peak;
    }

    /**
     * Returns how much all holders may have together.
     *
     * @return the number of bytes
     */
    public long limit() {
        return limit;
    }

    /**
     * Returns how much bodies of requests may take.
     *
     * @return the number of bytes
     */
    public long bodyLimit() {
        return bodyLimit;
    }
}
