package org.carawaysill.model.fleet;

import java.util.Optional;

/**
 * One entry of what the platform publishes, as text that only its decoder understands.
 *
 * <p>Invariant: of two entries with one key and of one era, the one with the greater revision is the newer. Immutable and
 * thread safe.
 *
 * @param key what the entry is about
 * @param revision when it changed last, in the platform's own count and the era of the answer that gave it
 * @param text its value; empty where it was removed
 */
public record PublishedEntry(String key, long revision, Optional<String> text) {}
