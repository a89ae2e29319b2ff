package org.carawaysill.model.document;

/**
 * A fault that a reader found in a document.
 *
 * <p>Immutable and thread safe.
 *
 * @param line the line, from 1; 0 if the fault concerns the document as a whole
 * @param key the path of the key, such as {@code copies[0].slots}; empty if there is none
 * @param message what is wrong and what is expected
 */
public record Fault(int line, String key, String message) {

    @Override
    public String toString() {
        return key.isEmpty() ? line + ": " + message : line + ": " + key + ": " + message;
    }
}
