package org.carawaysill.policy.distribution;

/**
 * A published document that failed the checks.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the platform's version number
 * @param message its faults in one line
 */
public record RefusedDocument(long version, String message) {}
