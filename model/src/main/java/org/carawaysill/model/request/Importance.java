package org.carawaysill.model.request;

/**
 * How much a request matters to the operators; the order of the constants is the order of refusal.
 *
 * <p>Immutable and thread safe.
 */
public enum Importance {
    /** Refused first; also what a call without a known request gets. */
    BACKGROUND,
    /** Everyday traffic. */
    ORDINARY,
    /** Traffic that ordinary requests give way to. */
    IMPORTANT,
    /** Refused last. */
    CRITICAL
}
