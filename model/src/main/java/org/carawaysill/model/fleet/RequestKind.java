package org.carawaysill.model.fleet;

/** The kind of a route's requests, as the operators state it. Immutable and thread safe. */
public enum RequestKind {
    /** May run more than once. */
    READ,
    /** Must run at most once. */
    WRITE,
    /** Has a large body and must run at most once. */
    UPLOAD,
    /** Has a large answer and may run more than once. */
    DOWNLOAD;

    /**
     * Returns whether a request of this kind may run more than once.
     *
     * @return whether it is idempotent
     */
    public boolean isIdempotent() {
        return switch (this) {
            case READ, DOWNLOAD -> true;
            case WRITE, UPLOAD -> false;
        };
    }
}
