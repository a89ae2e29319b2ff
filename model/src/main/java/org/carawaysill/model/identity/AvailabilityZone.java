package org.carawaysill.model.identity;

/**
 * The name of an availability zone.
 *
 * <p>Invariant: not blank. Immutable and thread safe.
 *
 * @param value the name as published
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    public AvailabilityZone {
        if (value.isBlank()) {
            throw new IllegalArgumentException("AvailabilityZone must not be blank");
        }
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
