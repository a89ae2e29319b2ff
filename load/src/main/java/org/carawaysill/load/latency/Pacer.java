package org.carawaysill.load.latency;

import io.vertx.core.Context;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Passes each request to the event loop at its time, with a precision of some ten microseconds; a timer of whole
 * milliseconds would be coarser than the measured differences.
 *
 * <p>A single thread sleeps until shortly before each time and then spins. Immutable; the receiver is called on the
 * event loop.
 *
 * @param context the event loop
 * @param receiver the function that sends a request
 */
record Pacer(Context context, Consumer<ScheduledRequest> receiver) {

    private static final long SPIN_NANOS = 200_000;

    void start(List<ScheduledRequest> requests, long startNanos) {
        Thread thread = new Thread(() -> pace(requests, startNanos), "pacer");
        thread.setDaemon(true);
        thread.start();
    }

    private void pace(List<ScheduledRequest> requests, long startNanos) {
        for (ScheduledRequest request : requests) {
            await(startNanos + request.atNanos());
            context.runOnContext(ignored -> receiver.accept(request));
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
