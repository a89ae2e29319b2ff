package org.carawaysill.model.settings;

/**
 * The maximum sizes that a node accepts from any sender.
 *
 * <p>Immutable and thread safe.
 *
 * @param maximumBodyBytes the maximum size of the body of a request or an answer, in bytes
 * @param maximumHeaderBytes the maximum total size of the header fields, in bytes
 */
public record SizeLimits(int maximumBodyBytes, int maximumHeaderBytes) {

    /** The defaults: 1 MiB for bodies, 16 KiB for headers. */
    public static final SizeLimits DEFAULTS = new SizeLimits(1 << 20, 1 << 14);
}
