package org.carawaysill.load.latency;

import io.vertx.core.Context;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Hands each request to the event loop at its time, to some ten microseconds: a timer of whole milliseconds would hide
 * what is measured.
 *
 * <p>Its one thread sleeps until shortly before the time and then spins. Immutable; the receiver is called on the event
 * loop.
 *
 * @param context the event loop
 * @param receiver what sends a request
 */
record Pacer(Context context, Consumer<Shot> receiver) {

    private static final long SPIN_NANOS = 200_000;

    void start(List<Shot> shots, long startNanos) {
        Thread thread = new Thread(() -> pace(shots, startNanos), "pacer");
        thread.setDaemon(true);
        thread.start();
    }

    private void pace(List<Shot> shots, long startNanos) {
        for (Shot shot : shots) {
            await(startNanos + shot.atNanos());
            context.runOnContext(ignored -> receiver.accept(shot));
        }
    }

    private static void await(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            if (left > SPIN_NANOS) {
                LockSupport.parkNanos(left - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
            left = nanos - System.nanoTime();
        }
    }
}
