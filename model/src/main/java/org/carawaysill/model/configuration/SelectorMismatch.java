package org.carawaysill.model.configuration;

import java.util.Optional;

/**
 * A label that keeps a selector from matching a request.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the label's scoped key
 * @param pattern what the selector asks for
 * @param value what the request has, if it has the label
 */
public record SelectorMismatch(String key, String pattern, Optional<String> value) {}
