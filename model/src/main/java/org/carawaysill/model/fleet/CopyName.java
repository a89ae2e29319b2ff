package org.carawaysill.model.fleet;

/**
 * Names an upstream copy. A copy that starts again usually has another name; where it keeps its name, the time of its start
 * tells the two apart.
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
