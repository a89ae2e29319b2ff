package org.carawaysill.node.lifecycle;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.observation.StateLog;

/**
 * Makes the end of the process, by the signal to terminate or by order, a planned stop.
 *
 * <p>Invariant: the process ends by itself only when every request in flight is finished, or when the limit has passed.
 * Thread safe.
 */
public final class SignalStop {

    /** Longer than any request's deadline may be, so that only a fault of the node itself runs into it. */
    private static final Duration LIMIT = Duration.ofMinutes(2);

    private static final int STOPPED = 0;

    private static final int TOOK_TOO_LONG = 1;

    private final NodeProcess process;

    private SignalStop(NodeProcess process) {
        this.process = process;
    }

    /**
     * Installs the planned stop at the end of the process.
     *
     * @param process the node, already started
     */
    public static void install(NodeProcess process) {
        SignalStop stop = new SignalStop(process);
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().name("stop").unstarted(stop::run));
    }

    private void run() {
        StateLog.change(Step.DRAIN, Optional.empty(), "stopping as planned");
        process.orderStop();
        int status = await();
        StateLog.flush();
        // The virtual machine would report the signal as its status, although the stop went as planned.
        Runtime.getRuntime().halt(status);
    }

    private int await() {
        try {
            process.mayEnd().get(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            process.stop().get(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            StateLog.change(Step.DRAIN, Optional.empty(), "stopped");
            return STOPPED;
        } catch (TimeoutException late) {
            StateLog.fault(Step.DRAIN, Optional.empty(), "requests were still in flight after " + LIMIT);
        } catch (ExecutionException failure) {
            StateLog.fault(Step.DRAIN, Optional.empty(), "the stop failed: " + failure.getCause());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return TOOK_TOO_LONG;
    }
}
