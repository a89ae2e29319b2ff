package org.carawaysill.model.document;

import java.util.List;

/**
 * The result of parsing a document. Immutable and thread safe.
 *
 * @param <T> the type of the value of a valid document
 */
public sealed interface ParseResult<T> {

    /**
     * The document has no fault.
     *
     * @param value the value that it states
     * @param <T> the type of the value
     */
    record Valid<T>(T value) implements ParseResult<T> {}

    /**
     * The document has faults and yields no value.
     *
     * @param faults every fault found, at least one, ordered by line
     * @param <T> the type of the value that a valid document would have
     */
    record Invalid<T>(List<Fault> faults) implements ParseResult<T> {

        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
