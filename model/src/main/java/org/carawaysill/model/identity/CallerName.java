package org.carawaysill.model.identity;

/**
 * The name of a caller as the operators label it.
 *
 * <p>Invariant: not blank. Immutable and thread safe.
 *
 * @param value the name as published
 */
public record CallerName(String value) implements Comparable<CallerName> {

    public CallerName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("CallerName must not be blank");
        }
    }

    @Override
    public int compareTo(CallerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
