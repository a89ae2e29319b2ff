package org.carawaysill.node.observation;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/**
 * Writes one line for each change of state: time, level, step, peer and message.
 *
 * <p>Invariant: an entry is always a single line, whatever the message contains. Thread safe; the logging library
 * writes on its own thread, so that callers don't wait for the console.
 */
public final class StateLog {

    private static final String ENTRY = "step={} peer={} {}";

    private static final String NO_PEER = "-";

    private StateLog() {}

    /**
     * Logs a change of state.
     *
     * @param step the step in which it changed
     * @param peer the other node that it concerns, if any
     * @param message what changed
     */
    public static void change(Step step, Optional<NodeName> peer, String message) {
        Logger.info(ENTRY, step, name(peer), oneLine(message));
    }

    /**
     * Logs a fault or a change for the worse.
     *
     * @param step the step in which it occurred
     * @param peer the other node that it concerns, if any
     * @param message what is wrong
     */
    public static void fault(Step step, Optional<NodeName> peer, String message) {
        Logger.warn(ENTRY, step, name(peer), oneLine(message));
    }

    /**
     * Logs the first warning of a library.
     *
     * @param logger the library's logger
     * @param message the warning
     */
    static void library(String logger, String message) {
        Logger.warn("step={} peer={} {}: {}", NO_PEER, NO_PEER, logger, oneLine(message));
    }

    /** Waits until all entries are written and shuts down the log, which accepts no further entries. */
    public static void flush() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static String name(Optional<NodeName> peer) {
        return peer.map(node -> oneLine(node.value())).orElse(NO_PEER);
    }

    /**
     * Replaces control characters, which prevents log injection: a name or message from outside could contain a line
     * break and a forged line.
     */
    private static String oneLine(String text) {
        return text.replaceAll("\\p{Cntrl}", " ");
    }
}
