package org.carawaysill.model.identity;

/**
 * The name of a service, of which several upstream copies may run.
 *
 * <p>Invariant: not blank. Immutable and thread safe.
 *
 * @param value the name as published
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    public ServiceName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("ServiceName must not be blank");
        }
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
