package org.carawaysill.standin.http;

/**
 * A request to a stand-in that makes no sense; answered by 400 and its message.
 *
 * <p>Immutable and thread safe.
 */
public final class BadRequestException extends RuntimeException {

    /**
     * Makes the error.
     *
     * @param message what is wrong, in one line
     */
    public BadRequestException(String message) {
        super(message);
    }
}
