package org.carawaysill.standin.http;

/**
 * Signals an invalid request to a stand-in; answered with status 400 and its message.
 *
 * <p>Immutable and thread safe.
 */
public final class BadRequestException extends RuntimeException {

    /**
     * Creates the error.
     *
     * @param message what is wrong, in one line
     */
    public BadRequestException(String message) {
        super(message);
    }
}
