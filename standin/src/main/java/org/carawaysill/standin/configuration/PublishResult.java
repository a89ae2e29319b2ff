package org.carawaysill.standin.configuration;

/** The result of publishing a document. Immutable and thread safe. */
sealed interface PublishResult {

    /**
     * The document was published.
     *
     * @param version its version number
     */
    record Published(long version) implements PublishResult {}

    /**
     * Another publisher has published a document since the expected version.
     *
     * @param version the version number of the current document, 0 if there is none
     */
    record Conflict(long version) implements PublishResult {}
}
