package org.carawaysill.standin.configuration;

/**
 * A document of one service as published.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the version number, which rises over all services together
 * @param text the TOML text
 */
record PublishedDocument(long version, String text) {}
