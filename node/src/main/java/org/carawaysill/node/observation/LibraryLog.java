package org.carawaysill.node.observation;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Replaces the console for messages that libraries log through the JDK: counts each warning, and logs the first one of
 * each logger.
 *
 * <p>Guards against a log that grows with the input of hostile clients, since Vert.x logs several lines for each broken
 * connection. Thread safe.
 */
public final class LibraryLog extends Handler {

    private final Counters counters;

    private final Consumer<Throwable> failures;

    private final Set<String> loggedLoggers = ConcurrentHashMap.newKeySet();

    private LibraryLog(Counters counters, Consumer<Throwable> failures) {
        this.counters = counters;
        this.failures = failures;
        setLevel(Level.WARNING);
    }

    /**
     * Installs the handler in place of all other handlers of this process.
     *
     * @param counters counts the warnings
     * @param failures receives what the warnings are about
     */
    public static void install(Counters counters, Consumer<Throwable> failures) {
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new LibraryLog(counters, failures));
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        counters.libraryWarning();
        if (entry.getThrown() != null) {
            failures.accept(entry.getThrown());
        }
        if (loggedLoggers.add(entry.getLoggerName())) {
            StateLog.library(entry.getLoggerName(), String.valueOf(entry.getMessage()));
        }
    }

    @Override
    public void flush() {
        // Nothing is buffered.
    }

    @Override
    public void close() {
        // No resources are open.
    }
}
