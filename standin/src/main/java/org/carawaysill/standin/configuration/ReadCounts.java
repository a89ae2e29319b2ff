package org.carawaysill.standin.configuration;

import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;

/**
 * Counts the calls of readers; a watch counts as one call when it arrives.
 *
 * <p>Invariant: seconds are those of the monotonic clock; seconds without calls are included with a count of 0. Not
 * thread safe: used on the event loop only.
 */
final class ReadCounts {

    private long reads;
    private long watches;
    private long failed;
    private long second = Long.MIN_VALUE;
    private long inSecond;
    private long inSecondBefore;
    private long maximumInSecond;

    /**
     * Counts a call.
     *
     * @param nowNanos the monotonic time
     * @param watch whether the call is a watch
     */
    void called(long nowNanos, boolean watch) {
        moveTo(nowNanos);
        reads++;
        inSecond++;
        maximumInSecond = Math.max(maximumInSecond, inSecond);
        if (watch) {
            watches++;
        }
    }

    /** Counts a call whose connection was closed without an answer. */
    void failed() {
        failed++;
    }

    /**
     * Returns all counts.
     *
     * @param nowNanos the monotonic time
     * @param waitingWatches how many watches currently wait
     * @return the counts
     */
    JsonObject toJson(long nowNanos, int waitingWatches) {
        moveTo(nowNanos);
        return new JsonObject()
                .put("reads", reads)
                .put("watches", watches)
                .put("waitingWatches", waitingWatches)
                .put("failed", failed)
                .put("perSecond", inSecondBefore)
                .put("maximumPerSecond", maximumInSecond);
    }

    private void moveTo(long nowNanos) {
        long now = Math.floorDiv(nowNanos, TimeUnit.SECONDS.toNanos(1));
        if (now == second) {
            return;
        }
        inSecondBefore = now == second + 1 ? inSecond : 0;
        inSecond = 0;
        second = now;
    }
}
