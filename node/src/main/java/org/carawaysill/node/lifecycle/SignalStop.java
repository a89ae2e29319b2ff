package org.carawaysill.node.lifecycle;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.observation.StateLog;

/**
 * Turns the termination of the process, by signal or by order, into a planned stop.
 *
 * <p>Invariant: the process exits by itself only when every request in flight is finished, or when the time limit has
 * passed. Thread safe.
 */
public final class SignalStop {

    /** Longer than the longest possible deadline of a request, so that only a fault of the node itself reaches it. */
    private static final Duration LIMIT = Duration.ofMinutes(2);

    private static final int STOPPED = 0;

    private static final int FAILED = 1;

    private final NodeProcess process;

    private SignalStop(NodeProcess process) {
        this.process = process;
    }

    /**
     * Installs the planned stop as a shutdown hook.
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
        // Otherwise the JVM would report the signal as its exit status, although the planned stop succeeded.
        Runtime.getRuntime().halt(status);
    }

    private int await() {
        try {
            process.stopCompletion().get(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
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
        return FAILED;
    }
}
