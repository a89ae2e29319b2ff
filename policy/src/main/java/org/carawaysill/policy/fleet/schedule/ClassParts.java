package org.carawaysill.policy.fleet.schedule;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.carawaysill.policy.time.Nanos;

/**
 * The parts of the copy's slots that short and long work may use.
 *
 * <p>Invariants: long work may use at least one slot; what is held free for short work changes by at most
 * {@link #CHANGE_PER_SECOND} of the slots in a second, and never takes the floor of long work. Not thread safe: owned by
 * the policy.
 */
public final class ClassParts {

    /** The part of the slots that is held free for short work before anything is known of it. */
    private static final double FIRST_PART = 0.25;

    /** Long work that waits gets so much of the slots, whatever short work asks for. */
    private static final double FLOOR_PART = 0.25;

    private static final double CHANGE_PER_SECOND = 0.5;

    /**
     * The spare slots of a class whose callers can wait for the time of one run; the longer they can wait, the fewer it
     * needs. Short work also uses what long work leaves idle, so that few of its requests wait longer.
     */
    private static final double SPARE_SLOTS = 2;

    /** Spare slots beyond so many standard deviations of the slots in use would stand idle. */
    private static final double MOST_DEVIATIONS = 2;

    /** So many requests of a class may wait in any case, which absorbs a burst. */
    private static final int LEAST_WAITING = 4;

    /** What is asked is averaged over so many times the wait that callers can bear, within bounds. */
    private static final double AVERAGED_WAITS = 2;

    private static final double SHORTEST_AVERAGE_NANOS = Duration.ofMillis(200).toNanos();
    private static final double LONGEST_AVERAGE_NANOS = Duration.ofSeconds(5).toNanos();

    private final Map<WorkClass, AskedWork> asked = new EnumMap<>(WorkClass.class);
    private final ServiceWork work;
    private double heldPart = FIRST_PART;
    private long heldNanos;

    /**
     * Creates the parts of a copy of which nothing is known.
     *
     * @param now the monotonic time
     * @param work the work of the copy's service
     */
    public ClassParts(long now, ServiceWork work) {
        this.work = work;
        heldNanos = now;
        for (WorkClass workClass : WorkClass.values()) {
            asked.put(workClass, new AskedWork(averagedNanos(workClass)));
        }
    }

    private double averagedNanos(WorkClass workClass) {
        double waits = AVERAGED_WAITS * work.waitNanos().get(workClass);
        return Math.clamp(waits, SHORTEST_AVERAGE_NANOS, LONGEST_AVERAGE_NANOS);
    }

    /**
     * Notes that a request arrived.
     *
     * @param now the monotonic time
     * @param workClass its class
     * @param expectedNanos how long it is expected to hold a slot, 0 if unknown
     */
    public void asked(long now, WorkClass workClass, long expectedNanos) {
        if (expectedNanos > 0) {
            asked.get(workClass).add(now, expectedNanos);
        }
    }

    /**
     * Discards what is known.
     *
     * @param now the monotonic time
     */
    public void reset(long now) {
        asked.values().forEach(AskedWork::reset);
        heldPart = FIRST_PART;
        heldNanos = now;
    }

    /**
     * Returns how many slots long work may use at most.
     *
     * @param now the monotonic time
     * @param slots how many requests may run at the copy
     * @return the slots, at least 1
     */
    public int mostLong(long now, int slots) {
        hold(now, slots);
        long left = Math.round(slots * (1 - heldPart));
        return (int) Math.max(leastLong(slots), Math.min(slots, left));
    }

    /**
     * Returns how many slots long work gets before short work gets more than its own part.
     *
     * @param now the monotonic time
     * @param slots how many requests may run at the copy
     * @return the slots, at least 1
     */
    public int guaranteedLong(long now, int slots) {
        return (int) Math.clamp((long) Math.ceil(needed(now, WorkClass.LONG)), leastLong(slots), mostLong(now, slots));
    }

    private int leastLong(int slots) {
        return (int) Math.max(1, FLOOR_PART * slots);
    }

    private void hold(long now, int slots) {
        double wanted = Math.min(1, needed(now, WorkClass.SHORT) / slots);
        double most = CHANGE_PER_SECOND * (now - heldNanos) / Nanos.PER_SECOND;
        heldPart += Math.clamp(wanted - heldPart, -most, most);
        heldNanos = now;
    }

    /** Returns the slots with which the requests of a class wait no longer than their callers can. */
    private double needed(long now, WorkClass workClass) {
        double used = asked.get(workClass).slots(now);
        double run = asked.get(workClass).meanNanos(now);
        double spare = work.waitNanos().get(workClass) - run;
        double most = MOST_DEVIATIONS * Math.sqrt(used);
        return used + (spare <= 0 ? most : Math.min(most, SPARE_SLOTS * run / spare));
    }

    /**
     * Returns how many requests of a class may wait so that the last of them still waits no longer than its callers can.
     *
     * @param now the monotonic time
     * @param workClass the class
     * @param slots how many requests may run at the copy
     * @return the number of requests, {@link Integer#MAX_VALUE} while unknown
     */
    public int mostWaiting(long now, WorkClass workClass, int slots) {
        double run = asked.get(workClass).meanNanos(now);
        if (run <= 0) {
            return Integer.MAX_VALUE;
        }
        int own = workClass == WorkClass.LONG ? mostLong(now, slots) : Math.max(1, slots - guaranteedLong(now, slots));
        return (int) Math.max(LEAST_WAITING, Math.ceil(own * (work.waitNanos().get(workClass) / run - 1)));
    }
}
