package org.carawaysill.standin.configuration;

/** What came of publishing a document. Immutable and thread safe. */
sealed interface PublishResult {

    /**
     * The document is published.
     *
     * @param version its version number
     */
    record Published(long version) implements PublishResult {}

    /**
     * Somebody else published first.
     *
     * @param version the version number of the present document, 0 if there is none
     */
    record Conflict(long version) implements PublishResult {}
}
