package org.carawaysill.node.observation;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Takes the place of the console for what libraries log through the JDK: counts each warning, and logs the first of each
 * logger.
 *
 * <p>Guards against a log that grows with what hostile clients send, since Vert.x logs each broken connection in several
 * lines. Thread safe.
 */
public final class LibraryLog extends Handler {

    private final Counters counters;

    private final Set<String> seen = ConcurrentHashMap.newKeySet();

    private LibraryLog(Counters counters) {
        this.counters = counters;
        setLevel(Level.WARNING);
    }

    /**
     * Installs the handler in the place of all others of this process.
     *
     * @param counters where warnings are counted
     */
    public static void install(Counters counters) {
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new LibraryLog(counters));
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        counters.libraryWarning();
        if (seen.add(entry.getLoggerName())) {
            StateLog.library(entry.getLoggerName(), String.valueOf(entry.getMessage()));
        }
    }

    @Override
    public void flush() {
        // Nothing is kept back.
    }

    @Override
    public void close() {
        // Nothing is open.
    }
}
