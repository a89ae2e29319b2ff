package org.carawaysill.standin.command;

/**
 * Signals an invalid command line; the message is one line.
 *
 * <p>Immutable and thread safe.
 */
public final class UsageException extends RuntimeException {

    UsageException(String message) {
        super(message);
    }
}
