package org.carawaysill.model.settings;

/**
 * The greatest sizes that a node takes in from anyone.
 *
 * <p>Immutable and thread safe.
 *
 * @param maximumBodyBytes the greatest body of a request or an answer, in bytes
 * @param maximumHeaderBytes the greatest sum of header fields, in bytes
 */
public record SizeLimits(int maximumBodyBytes, int maximumHeaderBytes) {

    /** What holds where the settings state nothing: 1 MiB bodies, 16 KiB of headers. */
    public static final SizeLimits DEFAULTS = new SizeLimits(1 << 20, 1 << 14);
}
