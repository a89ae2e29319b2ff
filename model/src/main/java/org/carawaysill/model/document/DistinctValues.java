package org.carawaysill.model.document;

import java.util.HashMap;
import java.util.Map;

/**
 * Reports values that a document repeats where each must be distinct.
 *
 * <p>Not thread safe: used by the one thread that reads the document.
 *
 * @param <T> the type of the values
 */
public final class DistinctValues<T> {

    private final String description;
    private final FaultCollector faults;
    private final Map<T, Located<T>> seen = new HashMap<>();

    /**
     * Creates an empty set of values.
     *
     * @param description what the values are, such as "node name"
     * @param faults receives a fault for each repeated value
     */
    public DistinctValues(String description, FaultCollector faults) {
        this.description = description;
        this.faults = faults;
    }

    /**
     * Adds a value; reports a fault if it was added before.
     *
     * @param value the value
     */
    public void add(Located<T> value) {
        Located<T> earlier = seen.putIfAbsent(value.value(), value);
        if (earlier != null) {
            String message = "this " + description + " already stands at line " + earlier.line() + ": " + value.value();
            faults.add(value.line(), value.key(), message);
        }
    }
}
