package org.carawaysill.model.document;

/**
 * A value with its location in a document.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the value
 * @param line its line, from 1
 * @param key the path of its key
 * @param <T> the type of the value
 */
public record Located<T>(T value, int line, String key) {}
