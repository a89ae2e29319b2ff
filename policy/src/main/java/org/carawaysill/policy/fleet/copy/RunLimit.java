package org.carawaysill.policy.fleet.copy;

/**
 * How many requests may run at the local copy at once.
 *
 * <p>Invariant: the limit is between 1 and the copy's slots. Not thread safe: owned by the gate.
 */
final class RunLimit {

    /** The limit before a record of the copy is published: low, since its capacity is unknown. */
    private static final int UNKNOWN_LIMIT = 4;

    /**
     * The limit is not lowered below this part of the slots when the copy refuses although slots should be free: it may
     * still work on requests of an earlier node process, or shed for reasons of its own. Below half, a copy that sheds
     * at random would hardly be used, although each of its slots still works.
     */
    private static final double MINIMUM_USED_PART = 0.5;

    /** By how much of a slot each answer raises a lowered limit. */
    private static final double LIMIT_RECOVERY = 0.2;

    private final NearFullLimit nearFull;
    private int slots = UNKNOWN_LIMIT;
    private double limit = UNKNOWN_LIMIT;

    RunLimit(boolean leavesLastSlotsFree) {
        nearFull = new NearFullLimit(leavesLastSlotsFree);
        nearFull.reset(0, slots);
    }

    int slots() {
        return slots;
    }

    /** Sets the number of slots of the copy, whose earlier process is gone. */
    void reset(long now, int newSlots) {
        slots = newSlots;
        limit = Math.max(1, slots);
        nearFull.reset(now, slots);
    }

    /** Lowers the limit, or returns it to all slots where half of them are free already. */
    void refused(int running) {
        double least = Math.max(1, slots * MINIMUM_USED_PART);
        limit = limit <= least ? slots : Math.max(least, Math.min(limit, running) - 1);
    }

    /** Raises a lowered limit. */
    void answered() {
        limit = Math.min(slots, limit + LIMIT_RECOVERY);
    }

    /** Notes how long the copy worked on a request, without the time of its calls. */
    void worked(LocalRun run, long nanos) {
        NearFullLimit.WorkKind kind = new NearFullLimit.WorkKind(
                run.request().rootRoute(), run.request().depth());
        nearFull.answered(kind, nanos, run.runningAtStart());
    }

    /** Returns how many requests may run at once. */
    int now(long now) {
        return Math.max(1, Math.min((int) limit, nearFull.limit(now)));
    }
}
