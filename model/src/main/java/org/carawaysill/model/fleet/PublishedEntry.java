package org.carawaysill.model.fleet;

import java.util.Optional;

/**
 * One entry published by the platform, as text in a form that only its decoder knows.
 *
 * <p>Invariant: of two entries with the same key and era, the one with the greater revision is newer. Immutable and
 * thread safe.
 *
 * @param key the key of the entry
 * @param revision the revision number of its last change, counted by the platform within the era of the answer that
 *     contained it
 * @param text its value; empty if it was removed
 */
public record PublishedEntry(String key, long revision, Optional<String> text) {}
