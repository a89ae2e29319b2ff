package org.carawaysill.node.exchange;

/**
 * The memory that the bodies of all open exchanges may take together.
 *
 * <p>Guards against many large requests at a time, each within its own limit, which would show as an exhausted heap and a
 * dead process: what finds no room is refused before it is read. Invariant: no more than the limit is taken. Confined to
 * the event loop.
 */
public final class BodyBudget {

    private final long limit;

    private long taken;

    /**
     * Makes a budget of which nothing is taken.
     *
     * @param limitBytes the bytes that all bodies may take together
     */
    public BodyBudget(long limitBytes) {
        this.limit = limitBytes;
    }

    /**
     * Takes room for a body or a part of one.
     *
     * @param bytes its size
     * @return whether there was room
     */
    public boolean take(long bytes) {
        if (taken + bytes > limit) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /**
     * Gives room back.
     *
     * @param bytes the size that was taken
     */
    public void giveBack(long bytes) {
        taken -= bytes;
    }
}
