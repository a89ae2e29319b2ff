package org.carawaysill.standin.command;

/**
 * A command line that can't be used; told in one line.
 *
 * <p>Immutable and thread safe.
 */
public final class UsageException extends RuntimeException {

    UsageException(String message) {
        super(message);
    }
}
