package org.carawaysill.model.settings;

/** Which policy a node decides by. Immutable and thread safe. */
public enum PolicyChoice {
    /** The project's overload control. */
    CARAWAYSILL,
    /** Plain forwarding with fixed retries at each hop, to compare with. */
    BASELINE
}
