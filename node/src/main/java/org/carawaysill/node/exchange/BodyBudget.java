package org.carawaysill.node.exchange;

/**
 * The memory that the bodies of all open exchanges may take together.
 *
 * <p>Guards against many large requests at a time, each within its own limit, which would show as an exhausted heap and a
 * dead process: what finds no room is refused before it is read. Invariant: no more than the limit is taken. Confined to
 * the event loop.
 */
final class BodyBudget {

    private final long limit;

    private long taken;

    BodyBudget(long limitBytes) {
        this.limit = limitBytes;
    }

    boolean take(long bytes) {
        if (taken + bytes > limit) {
            return false;
        }
        taken += bytes;
        return true;
    }

    void giveBack(long bytes) {
        taken -= bytes;
    }
}
