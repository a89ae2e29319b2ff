package org.carawaysill.model.document;

/**
 * A format that parses a string to a value. Implementations are stateless and thread safe.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
public interface TextFormat<T> {

    /**
     * Parses a text.
     *
     * @param text the text
     * @return the value
     * @throws IllegalArgumentException if the text does not have this format; its message states what is expected
     */
    T parse(String text);
}
