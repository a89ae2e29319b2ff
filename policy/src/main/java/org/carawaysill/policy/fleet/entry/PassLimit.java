package org.carawaysill.policy.fleet.entry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The limit of one route whose chains pass a service that rejects part of its tries.
 *
 * <p>Copies that reject for their own reasons go on doing so whatever is sent; copies that reject because too much is
 * sent take about as much as they took. So within the time in which the effect of a limit is seen, it does not fall
 * below the part of the admitted requests whose calls copies took: it settles in the second case, and falls on in the
 * first. It rises half of the way to the value at which requests failed, then waits until the effect is seen. Once
 * copies take no greater part of much fewer requests, rejections do not depend on the limit, and it moves fast. Invariant: the value is
 * {@link #LEAST} to 1. Not thread safe: owned by the policy.
 */
final class PassLimit {

    /** The least share that is admitted, by which it is seen that chains succeed again. */
    static final double LEAST = 0.05;

    /** The part of the limit that remains at least from one plan to the next. */
    private static final double LEAST_REMAINDER = 0.5;

    /** The factor by which the limit may rise from one plan to the next where rejections did not depend on it. */
    private static final double INDEPENDENT_RISE = 16;

    /** The part of the value at which requests failed below which copies would take a greater part of them. */
    private static final double MUCH_LOWER = 0.6;

    /** The factor up to which the part of the tries that copies take counts as unchanged. */
    private static final double UNCHANGED = 1.2;

    /** A limit this close to the value at which requests failed tries more than that. */
    private static final double SMALL_STEP = 0.05;

    /** The number of plans until the effect of a limit is seen in the reports of all nodes. */
    private static final int REPORT_DELAY = 5;

    private final Deque<Double> recent = new ArrayDeque<>();
    private double value;
    private double failedAt;
    private int plansSinceStep = REPORT_DELAY;
    private double passedBefore = 1;
    private boolean falling;
    private boolean independent;

    /** Creates a limit that begins at the share that is admitted. */
    PassLimit(double share) {
        value = Math.clamp(share, LEAST, 1);
        failedAt = value;
        for (int i = 0; i < REPORT_DELAY; i++) {
            recent.addLast(value);
        }
    }

    double value() {
        return value;
    }

    /**
     * Lowers the limit because chains fail.
     *
     * @param remainder the part of the limit that would remain, 0 to 1
     * @param passed the part of the tries that copies took, 0 to 1
     */
    void fall(double remainder, double passed) {
        if (!falling) {
            failedAt = value;
            passedBefore = 1;
        }
        falling = true;
        double sent = value;
        for (double earlier : recent) {
            sent = Math.max(sent, earlier);
        }
        if (sent > MUCH_LOWER * failedAt) {
            passedBefore = Math.min(passedBefore, passed);
        } else {
            independent |= passed <= UNCHANGED * passedBefore;
        }
        double lowest = value * Math.max(LEAST_REMAINDER, remainder);
        if (!independent) {
            lowest = Math.max(lowest, passed * sent);
        }
        value = Math.max(LEAST, Math.min(value, lowest));
        plansSinceStep = REPORT_DELAY;
    }

    /** Raises the limit because chains succeed. */
    void rise() {
        falling = false;
        if (independent) {
            value = Math.min(1, value * INDEPENDENT_RISE);
            return;
        }
        plansSinceStep++;
        if (plansSinceStep > REPORT_DELAY) {
            plansSinceStep = 0;
            if (failedAt - value < SMALL_STEP) {
                failedAt += 2 * SMALL_STEP;
            }
            value = Math.min(1, (value + failedAt) / 2);
        }
    }

    /** Notes the share that a plan admits under this limit. */
    void admitted(double share) {
        recent.addLast(Math.min(value, share));
        if (recent.size() > REPORT_DELAY) {
            recent.removeFirst();
        }
    }
}
