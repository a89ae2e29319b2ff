package org.carawaysill.model.fleet;

/**
 * The name of an upstream copy. A restarted copy usually has another name; if it keeps its name, the start time
 * distinguishes the two.
 *
 * <p>Invariant: not blank. Immutable and thread safe.
 *
 * @param value the name
 */
public record CopyName(String value) {

    public CopyName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("a copy's name must not be blank");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
