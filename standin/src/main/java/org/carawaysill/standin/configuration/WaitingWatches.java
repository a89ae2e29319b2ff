package org.carawaysill.standin.configuration;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The watches that wait for a newer document.
 *
 * <p>Invariant: each watch is answered at most once: when a newer document wakes it or when its wait ends; never after
 * its reader has disconnected. Not thread safe: used on the event loop only.
 */
final class WaitingWatches {

    private static final int NOT_MODIFIED = 304;

    private final Vertx vertx;
    private final Map<Watch, Long> timers = new LinkedHashMap<>();

    WaitingWatches(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Adds a watch.
     *
     * @param watch the watch
     * @param waitMilliseconds how long it waits; 0 answers it at once
     */
    void add(Watch watch, long waitMilliseconds) {
        if (waitMilliseconds == 0) {
            answerNotModified(watch);
            return;
        }
        timers.put(watch, vertx.setTimer(waitMilliseconds, timer -> expire(watch)));
        watch.context().response().closeHandler(closed -> remove(watch));
    }

    /**
     * Offers each watch an answer.
     *
     * @param answer answers a watch and returns true, or returns false to keep it waiting
     */
    void wake(Predicate<Watch> answer) {
        for (Watch watch : List.copyOf(timers.keySet())) {
            if (answer.test(watch)) {
                remove(watch);
            }
        }
    }

    /**
     * Returns how many watches wait.
     *
     * @return their number
     */
    int size() {
        return timers.size();
    }

    private void expire(Watch watch) {
        timers.remove(watch);
        answerNotModified(watch);
    }

    private void remove(Watch watch) {
        Long timer = timers.remove(watch);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }

    private static void answerNotModified(Watch watch) {
        watch.context().response().setStatusCode(NOT_MODIFIED).end();
    }
}
