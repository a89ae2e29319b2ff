package org.carawaysill.standin.configuration;

/**
 * A published document of one service.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the version number, which rises over all services together
 * @param text the TOML text
 */
record PublishedDocument(long version, String text) {}
