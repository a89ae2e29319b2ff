package org.carawaysill.model.request;

/**
 * The importance of a request to the operators; the order of the constants is the order of refusal.
 *
 * <p>Immutable and thread safe.
 */
public enum Importance {
    /** Refused first; also used for a call without a known request. */
    BACKGROUND,
    /** Normal traffic. */
    ORDINARY,
    /** Traffic that takes precedence over ordinary requests. */
    IMPORTANT,
    /** Refused last. */
    CRITICAL
}
