package org.carawaysill.model.fleet;

/**
 * Names one start of an upstream copy; a copy that starts again has another name.
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
