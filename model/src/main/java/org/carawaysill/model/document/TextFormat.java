package org.carawaysill.model.document;

/**
 * A format in which a text states a value. Implementations are stateless and thread safe.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
public interface TextFormat<T> {

    /**
     * Reads a text.
     *
     * @param text the text
     * @return the value
     * @throws IllegalArgumentException if the text is not of this format; its message tells what is expected
     */
    T parse(String text);
}
