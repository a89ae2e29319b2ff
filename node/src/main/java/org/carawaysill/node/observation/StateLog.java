package org.carawaysill.node.observation;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Step;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/**
 * Writes one line for each change of state: time, level, step, peer and message.
 *
 * <p>Invariant: an entry is one line, whatever the message holds. Thread safe; the writer has a thread of its own, so
 * that nobody waits for the console.
 */
public final class StateLog {

    private static final String ENTRY = "step={} peer={} {}";

    private static final String NO_PEER = "-";

    private StateLog() {}

    /**
     * Logs a change of state.
     *
     * @param step where it changed
     * @param peer the other node that it concerns, if any
     * @param message what changed
     */
    public static void change(Step step, Optional<NodeName> peer, String message) {
        Logger.info(ENTRY, step, name(peer), oneLine(message));
    }

    /**
     * Logs a change of state for the worse.
     *
     * @param step where it changed
     * @param peer the other node that it concerns, if any
     * @param message what is wrong now
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

    /** Waits until all entries are written. The log takes none after that. */
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

    /** Guards against forged entries: a name or message from outside could hold a line break and a whole false line. */
    private static String oneLine(String text) {
        return text.replaceAll("\\p{Cntrl}", " ");
    }
}
