package org.carawaysill.model.configuration;

import java.util.Optional;

/**
 * A label that prevents a selector from matching a request.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the label's scoped key
 * @param pattern the pattern that the selector requires
 * @param value the value of the label in the request, if it has the label
 */
public record SelectorMismatch(String key, String pattern, Optional<String> value) {}
