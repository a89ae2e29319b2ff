package org.carawaysill.model.identity;

/**
 * The name of the node beside one upstream copy.
 *
 * <p>Invariant: not blank. Immutable and thread safe.
 *
 * @param value the name as published
 */
public record NodeName(String value) implements Comparable<NodeName> {

    public NodeName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("NodeName must not be blank");
        }
    }

    @Override
    public int compareTo(NodeName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
