package org.carawaysill.model.settings;

/** The policies by which a node can decide. Immutable and thread safe. */
public enum PolicyChoice {
    /** The project's overload control. */
    CARAWAYSILL,
    /** Plain forwarding with fixed retries at each hop, as a baseline for comparison. */
    BASELINE
}
