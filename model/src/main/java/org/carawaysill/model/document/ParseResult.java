package org.carawaysill.model.document;

import java.util.List;

/**
 * What reading a document came to. Immutable and thread safe.
 *
 * @param <T> the type of the value that a faultless document states
 */
public sealed interface ParseResult<T> {

    /**
     * The document has no fault.
     *
     * @param value what it states
     * @param <T> the type of the value
     */
    record Valid<T>(T value) implements ParseResult<T> {}

    /**
     * The document has faults and states nothing.
     *
     * @param faults every fault found, at least one, in the order of lines
     * @param <T> the type of the value that a faultless document would state
     */
    record Invalid<T>(List<Fault> faults) implements ParseResult<T> {

        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
