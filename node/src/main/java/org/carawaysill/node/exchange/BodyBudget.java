package org.carawaysill.node.exchange;

/**
 * The memory budget shared by the bodies of all open exchanges.
 *
 * <p>Guards against many concurrent large requests, each within its own limit, which would together exhaust the heap
 * and end the process: a request without budget is refused before its body is read. Invariant: never more than the
 * limit is reserved. Not thread safe: confined to the event loop.
 */
public final class BodyBudget {

    private final long limit;

    private long reserved;

    /**
     * Creates a budget without reservations.
     *
     * @param limitBytes the maximum number of bytes of all bodies together
     */
    public BodyBudget(long limitBytes) {
        this.limit = limitBytes;
    }

    /**
     * Returns whether a reservation would succeed now.
     *
     * @param bytes the size of a body
     * @return whether there is room for it
     */
    public boolean hasRoom(long bytes) {
        return reserved + bytes <= limit;
    }

    /**
     * Returns how much is reserved.
     *
     * @return the bytes of all bodies together
     */
    public long reserved() {
        return reserved;
    }

    /**
     * Reserves memory for a body or a part of one.
     *
     * @param bytes its size
     * @return whether the reservation succeeded
     */
    public boolean reserve(long bytes) {
        if (!hasRoom(bytes)) {
            return false;
        }
        reserved += bytes;
        return true;
    }

    /**
     * Releases reserved memory.
     *
     * @param bytes the size that was reserved
     */
    public void release(long bytes) {
        reserved -= bytes;
    }
}
